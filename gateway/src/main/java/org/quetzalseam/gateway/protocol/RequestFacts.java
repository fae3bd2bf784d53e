package org.quetzalseam.gateway.protocol;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.generation.TokenDemand;

/**
 * The facts that a request states about itself. Immutable.
 *
 * @param id the caller's id of this attempt, empty if it gave none
 * @param callerTimeoutMillis how long the caller keeps waiting from now, or {@code Long.MAX_VALUE} if it does not state it
 * @param demand the size of a generation, or null if the request is not a generation
 * @param resumesAfter id of the last event that the caller has received, if it resumes a stream, else null
 * @param begunBy id of the attempt that brought the first event, if the caller resumes a stream and states it, else null
 * @param sharedParts ids of those parts of the prompt that other requests may hold too, in order, each once
 */
public record RequestFacts(
        String id,
        long callerTimeoutMillis,
        @Nullable TokenDemand demand,
        @Nullable String resumesAfter,
        @Nullable String begunBy,
        List<String> sharedParts) {
    /** Estimate for requests that state no size: the same for all of them. */
    private static final double NO_ESTIMATE = 1;

    /** Copies the list of parts. */
    public RequestFacts {
        sharedParts = List.copyOf(sharedParts);
    }

    /** Returns whether the caller takes up a stream of which it has received events. */
    public boolean takesStreamUp() {
        return resumesAfter != null || begunBy != null;
    }

    /** Returns the number of tokens of the prompt, 0 if the request is not a generation. */
    public int promptTokens() {
        TokenDemand size = demand;
        return size == null ? 0 : size.prompt();
    }

    /** Returns the caller's estimate of the answer's size, for comparing requests of one route. */
    public double estimate() {
        TokenDemand size = demand;
        return size == null ? NO_ESTIMATE : size.expectedOutput();
    }
}
