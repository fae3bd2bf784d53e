package org.quetzalseam.core.generation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/** A seeded day of a few entries that have prompts read by a few engines, in steps of a millisecond. */
final class PrefillSimulation {
    static final int OBJECTIVE_MILLIS = 900;
    private static final int DEADLINE_MILLIS = 14_000;
    private static final int CHUNK_TOKENS = 2_048;
    private static final int MEAN_TOKENS = 5_000;
    private static final int MAX_TOKENS = 11_000;

    /** An entry's decisions. A new object is made for each entry. */
    interface Entry {
        /** Returns the engine at which to begin, or -1 to refuse. */
        int place(Prompt prompt, long nowMillis);

        /** Returns whether to give up what is under way and to place it again. */
        boolean shouldRetry(Prompt prompt, long nowMillis);

        void began(Prompt prompt, long nowMillis);

        void completed(Prompt prompt, long nowMillis);

        void cancelled(Prompt prompt);

        /** Returns when a refused caller is to come back. */
        long retryAfterMillis(Prompt prompt, long nowMillis);
    }

    /** Makes the entries. */
    @FunctionalInterface
    interface Entries {
        Entry make(int engines, int entries, Random random);
    }

    /** One caller's prompt. */
    static final class Prompt {
        final int tokens;
        final long arrivedAt;
        long nextArrivalAt;
        int entry;
        int engine = -1;
        int attempts;
        int requests;
        long begunAt;
        double tokensLeft;

        Prompt(int tokens, long arrived) {
            this.tokens = tokens;
            this.arrivedAt = arrived;
            this.nextArrivalAt = arrived;
        }

        double untilObjectiveMillis(long now) {
            return OBJECTIVE_MILLIS - (double) (now - arrivedAt);
        }

        double untilAbandonedMillis(long now) {
            return DEADLINE_MILLIS - (double) (now - arrivedAt);
        }
    }

    /** What came of a day, as shares of what the engines could have read. */
    record Result(double inTime, double late, double total) {}

    private final double tokensPerMilli;
    private final boolean interleaved;
    private final Random random;
    private final List<Entry> entries = new ArrayList<>();
    private final List<Deque<Prompt>> engines = new ArrayList<>();
    private final List<Prompt> inProgress = new ArrayList<>();
    private final PriorityQueue<Prompt> callers =
            new PriorityQueue<>((one, other) -> Long.compare(one.nextArrivalAt, other.nextArrivalAt));
    private double tokensInTime;
    private double tokensLate;
    private double tokensTotal;

    /** Creates a day; with {@code turns} engines read prompts in turns of a chunk, else one after the other. */
    PrefillSimulation(Entries maker, int entryCount, int engineCount, double tokensPerMilli, boolean turns, long seed) {
        this.tokensPerMilli = tokensPerMilli;
        this.interleaved = turns;
        this.random = new Random(seed);
        for (int i = 0; i < entryCount; i++) {
            entries.add(maker.make(engineCount, entryCount, random));
        }
        for (int i = 0; i < engineCount; i++) {
            engines.add(new ArrayDeque<>());
        }
    }

    /** Plays the load, in multiples of what the engines can read, up to a time, and another from there. */
    Result run(double load, double loadAfter, long turn, long length) {
        double counted = 0;
        for (long now = 0; now < length; now++) {
            arrive(now < turn ? load : loadAfter, now);
            while (!callers.isEmpty() && callers.peek().nextArrivalAt <= now) {
                send(callers.poll(), now);
            }
            cancelAndRetry(now);
            for (int engine = 0; engine < engines.size(); engine++) {
                prefill(engine, now);
            }
            counted += tokensPerMilli * engines.size();
        }
        return new Result(tokensInTime / counted, tokensLate / counted, tokensTotal / counted);
    }

    private void arrive(double load, long now) {
        double perMilli = load * tokensPerMilli * engines.size() / MEAN_TOKENS;
        for (double left = perMilli; left > 0; left--) {
            if (random.nextDouble() < Math.min(1, left)) {
                double size = MEAN_TOKENS * Math.exp(0.5 * random.nextGaussian() - 0.125);
                callers.add(new Prompt((int) Math.min(MAX_TOKENS, Math.max(100, size)), now));
            }
        }
    }

    private void send(Prompt prompt, long now) {
        prompt.entry = random.nextInt(entries.size());
        prompt.attempts = 0;
        prompt.requests++;
        place(prompt, now);
    }

    private void place(Prompt prompt, long now) {
        Entry entry = entries.get(prompt.entry);
        int engine = entry.place(prompt, now);
        if (engine < 0) {
            refuse(prompt, now);
            return;
        }
        prompt.engine = engine;
        prompt.attempts++;
        prompt.begunAt = now;
        prompt.tokensLeft = prompt.tokens;
        entry.began(prompt, now);
        engines.get(engine).add(prompt);
        inProgress.add(prompt);
    }

    private void refuse(Prompt prompt, long now) {
        long left = prompt.arrivedAt + DEADLINE_MILLIS - now;
        long back = Math.min(entries.get(prompt.entry).retryAfterMillis(prompt, now), left / 3);
        if (prompt.requests < 2 && left > 0) {
            prompt.nextArrivalAt = now + Math.max(1, back);
            callers.add(prompt);
        }
    }

    private void cancelAndRetry(long now) {
        for (Prompt prompt : List.copyOf(inProgress)) {
            boolean gone = now - prompt.arrivedAt > DEADLINE_MILLIS;
            if (gone || entries.get(prompt.entry).shouldRetry(prompt, now)) {
                engines.get(prompt.engine).remove(prompt);
                inProgress.remove(prompt);
                entries.get(prompt.entry).cancelled(prompt);
                if (!gone) {
                    place(prompt, now);
                }
            }
        }
    }

    private void prefill(int engine, long now) {
        Deque<Prompt> queue = engines.get(engine);
        double room = tokensPerMilli;
        while (room > 0 && !queue.isEmpty()) {
            Prompt prompt = queue.peekFirst();
            double turn = prompt.tokensLeft % CHUNK_TOKENS == 0 ? CHUNK_TOKENS : prompt.tokensLeft % CHUNK_TOKENS;
            double step = Math.min(room, Math.min(prompt.tokensLeft, turn));
            prompt.tokensLeft -= step;
            room -= step;
            tokensTotal += step;
            if (prompt.tokensLeft <= 1e-6) {
                queue.remove(prompt);
                inProgress.remove(prompt);
                finished(prompt, now);
            } else if (interleaved && step == turn) {
                queue.add(queue.remove());
            }
        }
    }

    private void finished(Prompt prompt, long now) {
        entries.get(prompt.entry).completed(prompt, now);
        if (now - prompt.arrivedAt <= OBJECTIVE_MILLIS) {
            tokensInTime += prompt.tokens;
        } else {
            tokensLate += prompt.tokens;
        }
    }
}
