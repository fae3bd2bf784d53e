package org.quetzalseam.gateway.stage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalseam.gateway.store.ObjectFields;

/**
 * The record of a lease in the store. Immutable.
 *
 * @param holder the name of the entry that holds the lease
 * @param epoch the number of this term of the lease, which the holder's orders carry
 * @param renewals the number of renewals, so that each renewal changes the record
 */
record LeaseRecord(String holder, long epoch, long renewals) {
    /**
     * Largest number in a record: its writers can still increment it, as can readers whose numbers are doubles only.
     */
    private static final long MAX_COUNT = (1L << 53) - 1;

    /**
     * Parses a record.
     *
     * @throws org.quetzalseam.core.store.UnreadableException if no entry can have written it
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
