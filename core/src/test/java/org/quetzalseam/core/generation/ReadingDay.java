package org.quetzalseam.core.generation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/** A seeded day of a few entries that have prompts read by a few engines, in steps of a millisecond. */
final class ReadingDay {
    static final int OBJECTIVE = 900;
    private static final int DEADLINE = 14_000;
    private static final int CHUNK = 2_048;
    private static final int MEAN_TOKENS = 5_000;
    private static final int MAX_TOKENS = 11_000;

    /** An entry's decisions. A new object is made for each entry. */
    interface Entry {
        /** Returns the engine at which to begin, or -1 to refuse. */
        int place(Prompt prompt, long nowMillis);

        /** Returns whether to give up what is under way and to place it again. */
        boolean givesUp(Prompt prompt, long nowMillis);

        void began(Prompt prompt, long nowMillis);

        void read(Prompt prompt, long nowMillis);

        void cancelled(Prompt prompt);

        /** Returns when a refused caller is to come back. */
        long comeBackMillis(Prompt prompt, long nowMillis);
    }

    /** Makes the entries. */
    @FunctionalInterface
    interface Entries {
        Entry make(int engines, int entries, Random random);
    }

    /** One caller's prompt. */
    static final class Prompt {
        final int tokens;
        final long arrived;
        long due;
        int entry;
        int engine = -1;
        int tries;
        int visits;
        long begun;
        double left;

        Prompt(int tokens, long arrived) {
            this.tokens = tokens;
            this.arrived = arrived;
            this.due = arrived;
        }

        double inTimeMillis(long now) {
            return OBJECTIVE - (double) (now - arrived);
        }

        double leftMillis(long now) {
            return DEADLINE - (double) (now - arrived);
        }
    }

    /** What came of a day, as shares of what the engines could have read. */
    record Result(double inTime, double late, double given) {}

    private final double tokensPerMilli;
    private final boolean turns;
    private final Random random;
    private final List<Entry> entries = new ArrayList<>();
    private final List<Deque<Prompt>> engines = new ArrayList<>();
    private final List<Prompt> underWay = new ArrayList<>();
    private final PriorityQueue<Prompt> callers = new PriorityQueue<>((one, other) -> Long.compare(one.due, other.due));
    private double readInTime;
    private double readLate;
    private double readTokens;

    /** Creates a day; with {@code turns} engines read prompts in turns of a chunk, else one after the other. */
    ReadingDay(Entries maker, int entryCount, int engineCount, double tokensPerMilli, boolean turns, long seed) {
        this.tokensPerMilli = tokensPerMilli;
        this.turns = turns;
        this.random = new Random(seed);
        for (int i = 0; i < entryCount; i++) {
            entries.add(maker.make(engineCount, entryCount, random));
        }
        for (int i = 0; i < engineCount; i++) {
            engines.add(new ArrayDeque<>());
        }
    }

    /** Plays the load, in multiples of what the engines can read, up to a time, and another from there. */
    Result play(double load, double loadAfter, long turn, long length) {
        double counted = 0;
        for (long now = 0; now < length; now++) {
            arrive(now < turn ? load : loadAfter, now);
            while (!callers.isEmpty() && callers.peek().due <= now) {
                visit(callers.poll(), now);
            }
            giveUps(now);
            for (int engine = 0; engine < engines.size(); engine++) {
                work(engine, now);
            }
            counted += tokensPerMilli * engines.size();
        }
        return new Result(readInTime / counted, readLate / counted, readTokens / counted);
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

    private void visit(Prompt prompt, long now) {
        prompt.entry = random.nextInt(entries.size());
        prompt.tries = 0;
        prompt.visits++;
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
        prompt.tries++;
        prompt.begun = now;
        prompt.left = prompt.tokens;
        entry.began(prompt, now);
        engines.get(engine).add(prompt);
        underWay.add(prompt);
    }

    private void refuse(Prompt prompt, long now) {
        long left = prompt.arrived + DEADLINE - now;
        long back = Math.min(entries.get(prompt.entry).comeBackMillis(prompt, now), left / 3);
        if (prompt.visits < 2 && left > 0) {
            prompt.due = now + Math.max(1, back);
            callers.add(prompt);
        }
    }

    private void giveUps(long now) {
        for (Prompt prompt : List.copyOf(underWay)) {
            boolean gone = now - prompt.arrived > DEADLINE;
            if (gone || entries.get(prompt.entry).givesUp(prompt, now)) {
                engines.get(prompt.engine).remove(prompt);
                underWay.remove(prompt);
                entries.get(prompt.entry).cancelled(prompt);
                if (!gone) {
                    place(prompt, now);
                }
            }
        }
    }

    private void work(int engine, long now) {
        Deque<Prompt> queue = engines.get(engine);
        double room = tokensPerMilli;
        while (room > 0 && !queue.isEmpty()) {
            Prompt prompt = queue.peekFirst();
            double turn = prompt.left % CHUNK == 0 ? CHUNK : prompt.left % CHUNK;
            double step = Math.min(room, Math.min(prompt.left, turn));
            prompt.left -= step;
            room -= step;
            readTokens += step;
            if (prompt.left <= 1e-6) {
                queue.remove(prompt);
                underWay.remove(prompt);
                finished(prompt, now);
            } else if (turns && step == turn) {
                queue.add(queue.remove());
            }
        }
    }

    private void finished(Prompt prompt, long now) {
        entries.get(prompt.entry).read(prompt, now);
        if (now - prompt.arrived <= OBJECTIVE) {
            readInTime += prompt.tokens;
        } else {
            readLate += prompt.tokens;
        }
    }
}
