package org.quetzalseam.gateway.route;

import java.util.List;
import org.quetzalseam.gateway.endpoint.Endpoint;

/** Excludes engines that refuse work. Stateless. */
final class EngineExclusion {
    private EngineExclusion() {}

    /**
     * Returns the engines that are not excluded, or all engines if more than half would be excluded. In that case the cause
     * is most likely not the engines themselves, but for example expiring caches or a slow network.
     */
    static List<Endpoint> withoutExcluded(List<Endpoint> engines, long now) {
        List<Endpoint> remaining =
                engines.stream().filter(engine -> !engine.excluded(now)).toList();
        return 2 * remaining.size() >= engines.size() ? remaining : engines;
    }

    /** Returns the engines that state no limit or may be asked again whether they have room, or all engines if there are none. */
    static List<Endpoint> withoutLimited(List<Endpoint> engines, long now) {
        List<Endpoint> remaining = engines.stream()
                .filter(engine ->
                        !engine.limits().limited() || engine.limits().backoff().mayAsk(now))
                .toList();
        return remaining.isEmpty() ? engines : remaining;
    }
}
