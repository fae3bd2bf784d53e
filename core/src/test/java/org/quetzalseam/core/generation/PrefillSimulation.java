package org.quetzalseam.core.generation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/** Seeded simulation of a few entries that have prompts prefilled by a few engines, in steps of a millisecond. */
final class PrefillSimulation {
    static final int OBJECTIVE_MILLIS = 900;
    private static final int DEADLINE_MILLIS = 14_000;
    private static final int CHUNK_TOKENS = 2_048;
    private static final int MEAN_TOKENS = 5_000;
    private static final int MAX_TOKENS = 11_000;

    /** Decisions of one entry. Each entry has its own object. */
    interface Entry {
        /** Returns the engine at which to begin, or -1 to refuse. */
        int place(Prompt prompt, long nowMillis);

        /** Returns whether to cancel a prefill in progress and to retry the prompt. */
        boolean shouldRetry(Prompt prompt, long nowMillis);

        void began(Prompt prompt, long nowMillis);

        void completed(Prompt prompt, long nowMillis);

        void cancelled(Prompt prompt);

        /** Returns after which time a refused caller should retry, in milliseconds. */
        long retryAfterMillis(Prompt prompt, long nowMillis);
    }

    /** Creates the entries. */
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

        Prompt(int tokens, long arrivedAt) {
            this.tokens = tokens;
            this.arrivedAt = arrivedAt;
            this.nextArrivalAt = arrivedAt;
        }

        double untilObjectiveMillis(long now) {
            return OBJECTIVE_MILLIS - (double) (now - arrivedAt);
        }

        double untilAbandonedMillis(long now) {
            return DEADLINE_MILLIS - (double) (now - arrivedAt);
        }
    }

    /**
     * Prompt tokens prefilled in time, late, and in all, including wasted ones, as shares of what the engines could
     * have prefilled.
     */
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

    /**
     * Creates a simulation; if {@code interleaved}, engines alternate between prompts by chunks, else they prefill one
     * after the other.
     */
    PrefillSimulation(
            Entries maker, int entryCount, int engineCount, double tokensPerMilli, boolean interleaved, long seed) {
        this.tokensPerMilli = tokensPerMilli;
        this.interleaved = interleaved;
        this.random = new Random(seed);
        for (int i = 0; i < entryCount; i++) {
            entries.add(maker.make(engineCount, entryCount, random));
        }
        for (int i = 0; i < engineCount; i++) {
            engines.add(new ArrayDeque<>());
        }
    }

    /**
     * Runs the simulation.
     *
     * @param load load before {@code changeAt}, as a multiple of what the engines can prefill
     * @param loadAfter load from then on
     * @param changeAt time at which the load changes, in milliseconds
     * @param length length of the simulation, in milliseconds
     */
    Result run(double load, double loadAfter, long changeAt, long length) {
        double capacity = 0;
        for (long now = 0; now < length; now++) {
            arrive(now < changeAt ? load : loadAfter, now);
            while (!callers.isEmpty() && callers.peek().nextArrivalAt <= now) {
                send(callers.poll(), now);
            }
            cancelAndRetry(now);
            for (int engine = 0; engine < engines.size(); engine++) {
                prefill(engine, now);
            }
            capacity += tokensPerMilli * engines.size();
        }
        return new Result(tokensInTime / capacity, tokensLate / capacity, tokensTotal / capacity);
    }

    private void arrive(double load, long now) {
        double perMilli = load * tokensPerMilli * engines.size() / MEAN_TOKENS;
        for (double expected = perMilli; expected > 0; expected--) {
            if (random.nextDouble() < Math.min(1, expected)) {
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
        long leftMillis = prompt.arrivedAt + DEADLINE_MILLIS - now;
        long afterMillis = Math.min(entries.get(prompt.entry).retryAfterMillis(prompt, now), leftMillis / 3);
        if (prompt.requests < 2 && leftMillis > 0) {
            prompt.nextArrivalAt = now + Math.max(1, afterMillis);
            callers.add(prompt);
        }
    }

    private void cancelAndRetry(long now) {
        for (Prompt prompt : List.copyOf(inProgress)) {
            boolean expired = now - prompt.arrivedAt > DEADLINE_MILLIS;
            if (expired || entries.get(prompt.entry).shouldRetry(prompt, now)) {
                engines.get(prompt.engine).remove(prompt);
                inProgress.remove(prompt);
                entries.get(prompt.entry).cancelled(prompt);
                if (!expired) {
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
            double chunk = prompt.tokensLeft % CHUNK_TOKENS == 0 ? CHUNK_TOKENS : prompt.tokensLeft % CHUNK_TOKENS;
            double step = Math.min(room, Math.min(prompt.tokensLeft, chunk));
            prompt.tokensLeft -= step;
            room -= step;
            tokensTotal += step;
            if (prompt.tokensLeft <= 1e-6) {
                queue.remove(prompt);
                inProgress.remove(prompt);
                finished(prompt, now);
            } else if (interleaved && step == chunk) {
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
