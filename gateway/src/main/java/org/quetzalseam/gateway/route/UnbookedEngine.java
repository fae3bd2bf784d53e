package org.quetzalseam.gateway.route;

import java.util.Comparator;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.endpoint.Endpoint;

/** Chooses where to run a stream of unknown size, for which no memory can be booked. Stateless. */
final class UnbookedEngine {
    private UnbookedEngine() {}

    /**
     * Returns the decode engine with the fewest outstanding requests of this entry, or an endpoint without stages if there
     * is no decode engine; only where the stream may go on if it has an origin.
     */
    static Optional<Endpoint> choose(RunContext context, String service, @Nullable StreamOrigin origin) {
        return leastUsed(context, service, Stage.DECODE, origin)
                .or(() -> leastUsed(context, service, Stage.WHOLE, origin));
    }

    private static Optional<Endpoint> leastUsed(
            RunContext context, String service, Stage stage, @Nullable StreamOrigin origin) {
        long now = context.now();
        return context.directory().usable(service, stage).stream()
                .filter(endpoint -> origin == null || origin.allows(endpoint.member()))
                .min(Comparator.<Endpoint, Boolean>comparing(
                                endpoint -> endpoint.health().isSuspect(now))
                        .thenComparingInt(Endpoint::outstanding));
    }
}
