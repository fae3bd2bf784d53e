package org.quetzalseam.gateway.stage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalseam.gateway.store.ObjectFields;

/**
 * The lease's record in the store. Immutable.
 *
 * @param holder the process that holds it
 * @param epoch the number of this holding, which orders carry
 * @param renewals how often it has been renewed; makes each renewal a change
 */
record LeaseRecord(String holder, long epoch, long renewals) {
    /** Largest number in a record: each of its writers can still count on from there, as can readers that know doubles only. */
    private static final long MAX_COUNT = (1L << 53) - 1;

    /**
     * Reads a record.
     *
     * @throws org.quetzalseam.gateway.store.UnreadableException if it isn't one that an entry has written
     */
    static LeaseRecord of(JsonNode spec) {
        ObjectFields fields = new ObjectFields("lease", spec);
        return new LeaseRecord(
                fields.nonBlankText("holder"),
                fields.integer("epoch", 1, MAX_COUNT),
                fields.integer("renewals", 0, MAX_COUNT));
    }

    ObjectNode toJson() {
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
