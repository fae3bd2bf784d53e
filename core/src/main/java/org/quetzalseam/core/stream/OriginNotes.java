package org.quetzalseam.core.stream;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The origins of the streams that one entry forwards, and when it writes them to the platform's store: in batches, while several
 * builds of a service serve, so that streams can go on after all entries were killed at once. What began after the last batch is
 * lost with the entry. Not thread-safe.
 */
public final class OriginNotes {
    /** Maximum number of streams: 25 bytes each in the store, so 100 KB. When it is full, the oldest is forgotten. */
    public static final int MAX_STREAMS = 4_000;

    /** Shortest time between two batches of an entry, in milliseconds: streams last some seconds. */
    private static final long MIN_PERIOD_MILLIS = 500;
    /** Time between two batches for each entry of the site, in milliseconds, so that all together write 100 times a second. */
    private static final long PERIOD_MILLIS_PER_ENTRY = 10;

    private final double phase;
    private final Map<String, NotedOrigin> streams = new LinkedHashMap<>();
    private boolean severalBefore;
    private boolean changed;
    private long nextBatchAt;

    /** Creates notes without streams; {@code phase}, from 0 to 1, differs between entries and spreads their batches. */
    public OriginNotes(double phase) {
        this.phase = phase;
    }

    /** Returns the time between two batches of an entry, in milliseconds. */
    public static long periodMillis(int entries) {
        return Math.max(MIN_PERIOD_MILLIS, PERIOD_MILLIS_PER_ENTRY * entries);
    }

    /** Records where an attempt began a stream. */
    public void record(String attempt, StreamOrigin origin, long untilMillis, long wallMillis) {
        String build = origin.build() == null ? "" : origin.build();
        long untilSeconds = TimeUnit.MILLISECONDS.toSeconds(untilMillis) + 1;
        add(new NotedOrigin(NotedOrigin.digest(attempt), origin.service(), build, untilSeconds), wallMillis);
        changed = true;
    }

    /** Adds what the store has of this entry, which an earlier process of it may have written. */
    public void inherit(Collection<NotedOrigin> written, long wallMillis) {
        written.stream().filter(note -> !note.expired(wallMillis)).forEach(note -> add(note, wallMillis));
    }

    private void add(NotedOrigin note, long wallMillis) {
        NotedOrigin earlier = streams.remove(note.stream());
        streams.put(note.stream(), earlier == null ? note : earlier.merge(note));
        var oldestFirst = streams.values().iterator();
        while (oldestFirst.hasNext()) {
            NotedOrigin oldest = oldestFirst.next();
            if (streams.size() <= MAX_STREAMS && !oldest.expired(wallMillis)) {
                return;
            }
            oldestFirst.remove();
        }
    }

    /**
     * Returns whether a batch is to be written now.
     *
     * @param several whether several builds of a service may have streams that callers can still take up
     * @param entries number of entries of the site, or 0 if they have not been counted
     * @param now the monotonic time, in nanoseconds
     */
    public boolean due(boolean several, int entries, long now) {
        if (several && !severalBefore) {
            nextBatchAt = now + (long) (phase * periodNanos(entries));
        }
        severalBefore = several;
        return several && entries > 0 && changed && now - nextBatchAt >= 0;
    }

    private static long periodNanos(int entries) {
        return TimeUnit.MILLISECONDS.toNanos(periodMillis(entries));
    }

    /** Returns the streams of a batch whose writing begins now. The next one is due a period later at the soonest. */
    public List<NotedOrigin> batch(int entries, long now, long wallMillis) {
        nextBatchAt = now + periodNanos(entries);
        changed = false;
        streams.values().removeIf(note -> note.expired(wallMillis));
        return List.copyOf(streams.values());
    }

    /**
     * Records that the store may lack a batch, so that another one is due one to two periods later, at a time that differs between
     * entries: the store may have been away for all of them.
     */
    public void missing(int entries, long now) {
        changed = changed || !streams.isEmpty();
        nextBatchAt = now + (long) ((1 + phase) * periodNanos(entries));
    }
}
