package org.quetzalseam.daemon.http;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The answers of all connections of a server that are being written. If they take more memory than the limit, the connection whose
 * answer takes most for longest, without its client reading any of it, is closed. Thread-safe.
 */
// A close that fails is reported through the channel's pipeline, where it is handled.
@SuppressWarnings("FutureReturnValueIgnored")
final class UnreadAnswers {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String LIMIT = "unread-bytes";
    /** Added to the time without progress when answers are compared, so that what has just been written counts too. */
    private static final long LEAST_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final long limit;
    private final Consumer<String> onLimit;
    private final Map<Channel, Held> held = new ConcurrentHashMap<>();

    /**
     * An answer that is being written.
     *
     * @param bytes its memory
     * @param progressAt when its client last read of it, in monotonic nanoseconds
     */
    private record Held(long bytes, long progressAt) {
        double weight(long now) {
            return (double) bytes * (now - progressAt + LEAST_NANOS);
        }
    }

    /**
     * Creates a bound.
     *
     * @param limit most memory, in bytes
     * @param onLimit receives the name of the limit when a connection is closed for it
     */
    UnreadAnswers(long limit, Consumer<String> onLimit) {
        this.limit = limit;
        this.onLimit = onLimit;
    }

    /** Records that a connection's answer takes memory until it is {@link #released}, or that its client has read some of it. */
    void holds(Channel channel, long bytes) {
        boolean added = held.put(channel, new Held(bytes, System.nanoTime())) == null;
        while (added && used() > limit && closeWorst()) {
            // One answer less in each round.
        }
    }

    /** Records that a connection's answer has been written, or never will be. */
    void released(Channel channel) {
        held.remove(channel);
    }

    private long used() {
        return held.values().stream().mapToLong(Held::bytes).sum();
    }

    private boolean closeWorst() {
        long now = System.nanoTime();
        Map.Entry<Channel, Held> worst = held.entrySet().stream()
                .max(Comparator.comparingDouble(entry -> entry.getValue().weight(now)))
                .orElse(null);
        if (worst == null || held.size() == 1) {
            return false;
        }
        Held closed = worst.getValue();
        logger.atInfo().log(
                "event=connection-closed limit=%s peer=%s unread=%d without_progress_ms=%d all_unread=%d most=%d answers=%d",
                LIMIT,
                worst.getKey().remoteAddress(),
                closed.bytes(),
                TimeUnit.NANOSECONDS.toMillis(now - closed.progressAt()),
                used(),
                limit,
                held.size());
        onLimit.accept(LIMIT);
        held.remove(worst.getKey());
        worst.getKey().close();
        return true;
    }
}
