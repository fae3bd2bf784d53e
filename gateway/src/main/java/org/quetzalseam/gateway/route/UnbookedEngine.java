package org.quetzalseam.gateway.route;

import java.util.Comparator;
import java.util.Optional;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.gateway.endpoint.Endpoint;

/** Chooses where a stream runs that says nothing of its size, so that no memory can be booked for it. Stateless. */
final class UnbookedEngine {
    private UnbookedEngine() {}

    /** Returns the engine with the least work of this entry; an endpoint without stages where there is no engine. */
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
