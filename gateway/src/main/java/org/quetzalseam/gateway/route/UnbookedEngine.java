package org.quetzalseam.gateway.route;

import java.util.Comparator;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.endpoint.Endpoint;

/** Chooses where to run a stream of unknown size, for which no memory can be booked. Stateless. */
final class UnbookedEngine {
    private UnbookedEngine() {}

    /**
     * Returns the decode engines, or the endpoints without stages if there is no decode engine; only those where the stream may go on
     * if it has an origin.
     */
    static List<Endpoint> candidates(RunContext context, String service, @Nullable StreamOrigin origin) {
        List<Endpoint> engines = candidates(context, service, Stage.DECODE, origin);
        return engines.isEmpty() ? candidates(context, service, Stage.WHOLE, origin) : engines;
    }

    private static List<Endpoint> candidates(
            RunContext context, String service, Stage stage, @Nullable StreamOrigin origin) {
        return context.directory().usable(service, stage).stream()
                .filter(endpoint -> origin == null || origin.allows(endpoint.member()))
                .toList();
    }

    /** Returns the order of candidates: the fewest outstanding requests of this entry first. */
    static Comparator<Endpoint> order(long now) {
        return Comparator.<Endpoint, Boolean>comparing(
                        endpoint -> endpoint.health().isSuspect(now))
                .thenComparingInt(Endpoint::outstanding);
    }
}
