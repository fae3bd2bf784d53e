package org.quetzalseam.gateway.route;

import java.util.Comparator;
import java.util.Optional;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.gateway.endpoint.Endpoint;

/** Chooses where to run a stream of unknown size, for which no memory can be booked. Stateless. */
final class UnbookedEngine {
    private UnbookedEngine() {}

    /**
     * Returns the decode engine with the fewest outstanding requests of this entry, or an endpoint without stages if there
     * is no decode engine.
     */
    static Optional<Endpoint> choose(RunContext context, String service) {
        return leastUsed(context, service, Stage.DECODE).or(() -> leastUsed(context, service, Stage.WHOLE));
    }

    private static Optional<Endpoint> leastUsed(RunContext context, String service, Stage stage) {
        long now = context.now();
        return context.directory().usable(service, stage).stream()
                .min(Comparator.<Endpoint, Boolean>comparing(
                                endpoint -> endpoint.health().isSuspect(now))
                        .thenComparingInt(Endpoint::outstanding));
    }
}
