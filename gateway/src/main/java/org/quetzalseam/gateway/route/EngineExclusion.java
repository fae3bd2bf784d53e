package org.quetzalseam.gateway.route;

import java.util.List;
import org.quetzalseam.gateway.endpoint.Endpoint;

/** Leaves out engines that turn work away. Stateless. */
final class EngineExclusion {
    private EngineExclusion() {}

    /**
     * Returns the engines without those that are left out. Where those would be more than half, all are returned: then the cause
     * is most likely not theirs, such as caches that lapse or a network that has slowed down.
     */
    static List<Endpoint> withoutExcluded(List<Endpoint> engines, long now) {
        List<Endpoint> remaining =
                engines.stream().filter(engine -> !engine.leftOut(now)).toList();
        return 2 * remaining.size() >= engines.size() ? remaining : engines;
    }
}
