package org.quetzalseam.gateway.endpoint;

import java.util.concurrent.TimeUnit;
import org.quetzalseam.gateway.protocol.ReplyFacts;

/**
 * Records whether a registration has recently proved wrong: another endpoint answered at the address, or the endpoint is in
 * another stage. Not thread-safe. Times are monotonic nanoseconds.
 */
final class Misdirection {
    /** How long an endpoint is then excluded, in nanoseconds: about the time that the store takes to list a change. */
    private static final long EXCLUSION_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    private boolean known;
    private long knownAt;

    /** Records what an answer states. */
    void record(ReplyFacts answer, long now) {
        if (answer.misdirected()) {
            known = true;
            knownAt = now;
        }
    }

    /** Forgets what was recorded, because the registration has changed. */
    void clear() {
        known = false;
    }

    /** Returns whether every request sent to the endpoint would still be rejected. */
    boolean recent(long now) {
        return known && now - knownAt < EXCLUSION_NANOS;
    }
}
