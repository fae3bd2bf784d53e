package org.quetzalseam.gateway.stage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The lease's record in the store. Immutable.
 *
 * @param holder the process that holds it
 * @param epoch the number of this holding, which orders carry
 * @param renewals how often it has been renewed; makes each renewal a change
 */
record LeaseRecord(String holder, long epoch, long renewals) {
    static LeaseRecord of(JsonNode spec) {
        return new LeaseRecord(
                spec.path("holder").asText(),
                spec.path("epoch").asLong(),
                spec.path("renewals").asLong());
    }

    ObjectNode json() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("holder", holder)
                .put("epoch", epoch)
                .put("renewals", renewals);
    }

    LeaseRecord renewed() {
        return new LeaseRecord(holder, epoch, renewals + 1);
    }
}
