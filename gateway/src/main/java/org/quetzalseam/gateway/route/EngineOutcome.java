package org.quetzalseam.gateway.route;

import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.endpoint.Endpoint;

/**
 * Records at the engines of one attempt whether they accepted its work. Used on the event loop only.
 *
 * @param decodeEngine the engine that was to decode
 * @param prefillEngine the engine that holds the KV cache, or null if the decode engine prefills the prompt
 */
record EngineOutcome(Endpoint decodeEngine, @Nullable Endpoint prefillEngine) {
    void recordAcceptance() {
        decodeEngine.workRejections().recordAcceptance();
        if (prefillEngine != null) {
            prefillEngine.cacheRejections().recordAcceptance();
        }
    }

    /**
     * Records a refusal at both engines: either the decode engine accepts nothing now, or it could not fetch the KV cache from the
     * prefill engine.
     */
    void recordRefusal(long now) {
        decodeEngine.workRejections().recordRejection(now);
        if (prefillEngine != null) {
            prefillEngine.cacheRejections().recordRejection(now);
        }
    }
}
