package org.quetzalseam.daemon.endpoint;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.quetzalseam.core.attempt.AttemptId;

/**
 * The answers of ended attempts, which an endpoint keeps so that they can be sent again. Beyond a bound on their memory the oldest are
 * forgotten, large ones before small ones; an entry that asks for one is told that it is lost. Thread-safe.
 */
final class KeptAnswers {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String LIMIT = "kept-answers";
    private static final double HEAP_SHARE = 0.15;
    /** Memory of an ended attempt beside its answer, in bytes. */
    private static final int ATTEMPT_BYTES = 512;
    /** Longest answer that counts as small, in bytes. */
    private static final int SMALL_BYTES = 64 * 1024;

    private final long limit;
    private final long retentionNanos;
    private final Consumer<String> onLimit;
    private final Deque<Kept> small = new ArrayDeque<>();
    private final Deque<Kept> large = new ArrayDeque<>();
    private long used;

    private record Kept(AttemptId attempt, long bytes, long since, Runnable forget) {}

    /**
     * Creates a bound.
     *
     * @param limit most memory, in bytes
     * @param retention time after which an answer is not needed any more
     * @param onLimit receives the name of the limit when an answer is forgotten for it
     */
    KeptAnswers(long limit, Duration retention, Consumer<String> onLimit) {
        this.limit = limit;
        this.retentionNanos = retention.toNanos();
        this.onLimit = onLimit;
    }

    /** Creates a bound that fits the heap of this process. */
    static KeptAnswers ofProcess(Duration retention, Consumer<String> onLimit) {
        return new KeptAnswers((long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE), retention, onLimit);
    }

    /**
     * Records that an answer is kept.
     *
     * @param bytes length of the answer
     * @param forget called, at most once, if the answer must be forgotten
     */
    void add(AttemptId attempt, long bytes, long now, Runnable forget) {
        List<Kept> forgotten = new ArrayList<>();
        synchronized (this) {
            long memory = bytes + ATTEMPT_BYTES;
            (bytes > SMALL_BYTES ? large : small).addLast(new Kept(attempt, memory, now, forget));
            used += memory;
            dropUnneeded(small, now);
            dropUnneeded(large, now);
            while (used > limit) {
                Kept oldest = (large.isEmpty() ? small : large).removeFirst();
                used -= oldest.bytes();
                forgotten.add(oldest);
            }
        }
        forgotten.forEach(oldest -> forget(oldest, now));
    }

    private void dropUnneeded(Deque<Kept> kept, long now) {
        Kept oldest = kept.peekFirst();
        while (oldest != null && now - oldest.since() > retentionNanos) {
            kept.removeFirst();
            used -= oldest.bytes();
            oldest = kept.peekFirst();
        }
    }

    private void forget(Kept oldest, long now) {
        logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                "event=answer-forgotten limit=%s attempt=%s bytes=%d age_ms=%d most=%d",
                LIMIT, oldest.attempt(), oldest.bytes(), TimeUnit.NANOSECONDS.toMillis(now - oldest.since()), limit);
        onLimit.accept(LIMIT);
        oldest.forget().run();
    }
}
