package org.quetzalseam.core.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * The origins of streams that callers may still take up, by the id of the attempt that brought the first event. Bounded: when it
 * is full, the oldest is forgotten. Not thread-safe. Times are monotonic nanoseconds.
 */
public final class StreamOrigins {
    /** Maximum number of streams: some 200 bytes each, so 4 MB. */
    public static final int MAX_STREAMS = 20_000;

    private final Map<String, Known> streams = new LinkedHashMap<>();

    /**
     * What is known of a stream. Immutable.
     *
     * @param origin where it began
     * @param recordedAt when this process learnt of it
     * @param keptUntil when it may be forgotten
     */
    public record Known(StreamOrigin origin, long recordedAt, long keptUntil) {}

    /** Records where the attempt with the given id began a stream. A different origin under the same id allows no endpoint. */
    public void record(String attempt, StreamOrigin origin, long keptUntil, long now) {
        Known earlier = streams.remove(attempt);
        boolean counts = earlier != null && earlier.keptUntil() - now > 0;
        StreamOrigin merged = counts ? earlier.origin().merge(origin) : origin;
        long until = counts && earlier.keptUntil() - keptUntil > 0 ? earlier.keptUntil() : keptUntil;
        streams.put(attempt, new Known(merged, counts ? earlier.recordedAt() : now, until));
        forget(now);
    }

    private void forget(long now) {
        Iterator<Known> oldestFirst = streams.values().iterator();
        while (oldestFirst.hasNext()) {
            Known oldest = oldestFirst.next();
            if (streams.size() <= MAX_STREAMS && oldest.keptUntil() - now > 0) {
                return;
            }
            oldestFirst.remove();
        }
    }

    /** Returns what is known of the stream that an attempt began. */
    public Optional<Known> find(String attempt, long now) {
        return Optional.ofNullable(streams.get(attempt)).filter(known -> known.keptUntil() - now > 0);
    }

    /** Calls with each stream that may still be taken up, by its attempt's id. */
    public void forEach(long now, BiConsumer<String, Known> call) {
        Map.copyOf(streams).forEach((attempt, known) -> {
            if (known.keptUntil() - now > 0) {
                call.accept(attempt, known);
            }
        });
    }

    /** Returns the number of streams, some of which may have expired. */
    public int size() {
        return streams.size();
    }
}
