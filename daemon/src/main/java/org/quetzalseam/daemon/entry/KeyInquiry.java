package org.quetzalseam.daemon.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.wire.message.FenceKey;
import org.quetzalseam.wire.message.KeyFenced;

/**
 * Finds out whether any endpoint other than its holder has seen a key, and bars the key from all that have not. Used by
 * one thread.
 *
 * <p>Endpoints that have left are not asked: those that left as planned have said which keys they had seen; of those that
 * crashed nothing is known.
 */
final class KeyInquiry {
    private static final long ANSWER_MILLIS = 500;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** What is known of the key. */
    enum Answer {
        /** Nobody has seen it, and nobody else will take it. */
        NEVER_SEEN,
        /** Another endpoint has seen it. */
        SEEN,
        /** Somebody who may have seen it can't be asked. */
        UNKNOWN
    }

    /**
     * The result of an inquiry. Immutable.
     *
     * @param answer what is known of the key
     * @param seenAt the endpoint that has seen it and can be reached
     */
    record Finding(Answer answer, Optional<EndpointLink> seenAt) {}

    private final EntryContext context;
    private final String pool;
    private final EndpointLink holder;
    private final String key;
    private final long mintedAtMillis;
    private final AttemptId id;
    private final long retentionNanos;

    KeyInquiry(
            EntryContext context,
            String pool,
            EndpointLink holder,
            String key,
            long mintedAtMillis,
            AttemptId id,
            long retentionNanos) {
        this.context = context;
        this.pool = pool;
        this.holder = holder;
        this.key = key;
        this.mintedAtMillis = mintedAtMillis;
        this.id = id;
        this.retentionNanos = retentionNanos;
    }

    /** Asks everybody on the newest list of VMs, which is read for this purpose. */
    Finding inquire() {
        if (!context.members().refresh() || !context.fleet().linksWholePool(pool)) {
            return new Finding(Answer.UNKNOWN, Optional.empty());
        }
        List<EndpointLink> absent = new ArrayList<>(context.fleet()
                .history(pool)
                .departedWithin(retentionNanos, context.timers().now()));
        List<EndpointLink> asked = new ArrayList<>();
        Inbox inbox = new Inbox();
        for (EndpointLink link : context.fleet().pool(pool)) {
            if (link == holder) {
                continue;
            }
            if (awaitConnection(link) && link.begin(new FenceKey(id, key, mintedAtMillis), inbox, 0)) {
                asked.add(link);
            } else {
                absent.add(link);
            }
        }
        boolean absentDeny = absent.stream().allMatch(link -> denied(link.departedKeys()));
        Finding finding = collect(asked, inbox);
        asked.forEach(link -> link.end(id));
        if (finding.answer() == Answer.NEVER_SEEN && !absentDeny) {
            return new Finding(Answer.UNKNOWN, Optional.empty());
        }
        return finding;
    }

    private boolean denied(@Nullable Set<String> seen) {
        return seen != null && !seen.contains(key);
    }

    /** Waits for a link that has just been made; an endpoint that has said that it leaves isn't waited for. */
    private static boolean awaitConnection(EndpointLink link) {
        return link.awaitConnected(Duration.ofMillis(ANSWER_MILLIS), () -> link.departedKeys() == null);
    }

    private Finding collect(List<EndpointLink> asked, Inbox inbox) {
        int missing = asked.size();
        long until = context.timers().now() + ANSWER_MILLIS * NANOS_PER_MILLI;
        while (missing > 0) {
            Event event = inbox.poll(Math.max(0, (until - context.timers().now()) / NANOS_PER_MILLI));
            if (event == null || !(event.reply() instanceof KeyFenced fenced)) {
                return new Finding(Answer.UNKNOWN, Optional.empty());
            }
            if (!fenced.neverSeen()) {
                return new Finding(Answer.SEEN, Optional.of(event.link()));
            }
            missing--;
        }
        return new Finding(Answer.NEVER_SEEN, Optional.empty());
    }
}
