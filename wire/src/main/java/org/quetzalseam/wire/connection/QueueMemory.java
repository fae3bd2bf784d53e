package org.quetzalseam.wire.connection;

import com.google.common.flogger.FluentLogger;
import java.util.Comparator;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Bounds the memory of what all connections of the process have queued for peers that read slowly. Thread-safe. */
final class QueueMemory {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Part of the heap for the queues of all connections. */
    private static final double HEAP_SHARE = 0.25;

    private static final QueueMemory OF_PROCESS =
            new QueueMemory((long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE));

    private final long limit;
    private final AtomicLong used = new AtomicLong();
    private final Set<Connection> open = ConcurrentHashMap.newKeySet();

    QueueMemory(long limit) {
        this.limit = limit;
    }

    static QueueMemory ofProcess() {
        return OF_PROCESS;
    }

    void opened(Connection connection) {
        open.add(connection);
    }

    void closed(Connection connection) {
        open.remove(connection);
    }

    /** Records that bytes have been queued. Beyond the limit, the connection with the longest queue is closed. */
    void add(long bytes) {
        if (used.addAndGet(bytes) <= limit) {
            return;
        }
        open.stream().max(Comparator.comparingLong(Connection::queuedBytes)).ifPresent(longest -> {
            logger.atWarning().log(
                    "event=peer-too-slow peer=%s queued_bytes=%d all_queued_bytes=%d most=%d",
                    longest.peer().name(), longest.queuedBytes(), used.get(), limit);
            longest.close();
        });
    }

    /** Returns how many bytes are queued. */
    long used() {
        return used.get();
    }

    /** Records that bytes have been written or dropped. */
    void remove(long bytes) {
        used.addAndGet(-bytes);
    }
}
