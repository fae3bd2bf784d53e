package org.quetzalseam.core.stream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A site whose builds come and go while streams run, whose store is away at times and comes back from older copies, and whose entries
 * are all killed at once. Some entries do not note origins, as older ones do not.
 */
final class OriginNotesSimulation {
    private static final long STEP_MILLIS = 100;
    private static final long MEAN_STREAM_MILLIS = 7_000;
    private static final long KEEP_MILLIS = 15_000;
    /** Answers of the store take up to this time, in milliseconds; a write may take effect after its entry was killed. */
    private static final long MAX_WRITE_MILLIS = 300;
    /** Clocks of entries differ by up to this, in milliseconds. */
    private static final long CLOCK_MILLIS = 500;

    private final Random random;
    private final boolean hard;
    private final List<Entry> entries = new ArrayList<>();
    private final List<Write> writes = new ArrayList<>();
    private Map<String, Collection<NotedOrigin>> store = new HashMap<>();
    private Map<String, Collection<NotedOrigin>> copy = new HashMap<>();
    private final List<Stream> streams = new ArrayList<>();
    private final List<String> builds = new ArrayList<>(List.of("v1", "v2"));
    private long now;
    private long awayUntil;
    private int begun;

    /** Number of streams that were taken up while their build served, of those that went on, and of those that were joined. */
    int takenUp;

    int wentOn;
    int joined;
    /** Number of batches written, and of streams in them. */
    int batches;

    long noted;

    private final class Entry {
        private final String name;
        private final long clockMillis = random.nextLong(CLOCK_MILLIS);
        private final boolean older;
        private OriginNotes notes = new OriginNotes(random.nextDouble());
        private boolean ownKnown;

        Entry(String name, boolean older) {
            this.name = name;
            this.older = older;
        }

        void restart() {
            notes = new OriginNotes(random.nextDouble());
            ownKnown = false;
        }

        void check() {
            if (older || !notes.due(true, entries.size(), TimeUnit.MILLISECONDS.toNanos(now))) {
                return;
            }
            if (now < awayUntil) {
                notes.missing(entries.size(), TimeUnit.MILLISECONDS.toNanos(now));
                return;
            }
            if (!ownKnown) {
                notes.inherit(store.getOrDefault(name, List.of()), now + clockMillis);
                ownKnown = true;
            }
            List<NotedOrigin> batch =
                    notes.batch(entries.size(), TimeUnit.MILLISECONDS.toNanos(now), now + clockMillis);
            batches++;
            noted += batch.size();
            writes.add(new Write(now + random.nextLong(MAX_WRITE_MILLIS), name, batch));
        }
    }

    private record Write(long at, String name, Collection<NotedOrigin> batch) {}

    private record Stream(String attempt, String build, long end) {}

    OriginNotesSimulation(long seed, int entryCount, boolean hard) {
        this.random = new Random(seed);
        this.hard = hard;
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Entry("entry-" + i, hard && i % 4 == 3));
        }
    }

    /** Runs a history with a kill of all entries every 20 s or so, and one at the end. */
    void run(long seconds, double streamsPerEntryAndSecond) {
        for (now = 0; now < TimeUnit.SECONDS.toMillis(seconds); now += STEP_MILLIS) {
            writes.removeIf(this::applied);
            streams.removeIf(stream -> stream.end() <= now);
            if (hard) {
                disturb();
            }
            for (Entry entry : entries) {
                if (random.nextDouble() < streamsPerEntryAndSecond * STEP_MILLIS / 1_000) {
                    begin(entry);
                }
                entry.check();
            }
            if (random.nextInt(200) == 0) {
                killAll();
            }
        }
        killAll();
    }

    private boolean applied(Write write) {
        if (write.at() <= now) {
            store.put(write.name(), write.batch());
        }
        return write.at() <= now;
    }

    private void disturb() {
        int event = random.nextInt(200);
        if (event == 0) {
            awayUntil = now + random.nextLong(8_000);
        } else if (event == 1) {
            copy = new HashMap<>(store);
        } else if (event == 2) {
            store = new HashMap<>(copy);
            entries.forEach(entry -> {
                entry.ownKnown = false;
                entry.notes.missing(entries.size(), TimeUnit.MILLISECONDS.toNanos(now));
            });
        } else if (event < 7) {
            String build = "v" + (1 + random.nextInt(4));
            if (!builds.remove(build) || builds.isEmpty()) {
                builds.add(build);
            }
        }
    }

    private void begin(Entry entry) {
        String attempt = "attempt-" + begun++;
        String build = builds.get(random.nextInt(builds.size()));
        streams.add(new Stream(attempt, build, now + random.nextLong(2 * MEAN_STREAM_MILLIS)));
        record(entry, attempt, build);
    }

    private void record(Entry entry, String attempt, String build) {
        long wallMillis = now + entry.clockMillis;
        entry.notes.record(attempt, StreamOrigin.atBuild("s", build), wallMillis + KEEP_MILLIS, wallMillis);
    }

    /** Kills all entries; every stream is taken up at any of them, later streams of which may break off again. */
    private void killAll() {
        entries.forEach(Entry::restart);
        List<Stream> broken = List.copyOf(streams);
        streams.clear();
        Map<String, NotedOrigin> listed = list();
        for (Stream stream : broken) {
            if (!builds.contains(stream.build())) {
                continue;
            }
            takenUp++;
            Entry entry = entries.get(random.nextInt(entries.size()));
            boolean asked = now >= awayUntil && !entry.older;
            Optional<NotedOrigin> found = Optional.ofNullable(
                            asked ? listed.get(NotedOrigin.digest(stream.attempt())) : null)
                    .filter(note -> !note.expired(now + entry.clockMillis)
                            && !note.build().isEmpty());
            if (found.isPresent()) {
                wentOn++;
                joined += found.get().build().equals(stream.build()) ? 0 : 1;
                streams.add(stream);
                record(entry, stream.attempt(), found.get().build());
            }
        }
    }

    /** Returns what the store has of each stream, as its list shows it. */
    private Map<String, NotedOrigin> list() {
        Map<String, NotedOrigin> found = new HashMap<>();
        store.values().forEach(notes -> notes.forEach(note -> found.merge(note.stream(), note, NotedOrigin::merge)));
        return found;
    }
}
