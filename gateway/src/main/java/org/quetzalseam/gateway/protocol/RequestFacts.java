package org.quetzalseam.gateway.protocol;

import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.generation.TokenDemand;

/**
 * What a request says of itself. Immutable.
 *
 * @param id the caller's id of this try, empty when it gave none
 * @param callerTimeoutMillis how long the caller will wait from now, or {@code Long.MAX_VALUE} when it doesn't say
 * @param demand the size of a generation, or null when the request isn't one
 * @param resumesAfter the last event that the caller has, when it resumes a stream
 */
public record RequestFacts(
        String id,
        long callerTimeoutMillis,
        @Nullable TokenDemand demand,
        @Nullable String resumesAfter) {
    /** Size that is given for a request that doesn't say any: the same for all of them. */
    private static final double NO_ESTIMATE = 1;

    /** Returns the caller's estimate of the answer's size, to compare requests of one route by. */
    public double estimate() {
        TokenDemand size = demand;
        return size == null ? NO_ESTIMATE : size.expectedOutput();
    }
}
