package org.quetzalseam.core.generation;

import java.util.Random;
import java.util.stream.IntStream;

/** An entry that counts its own prompts, gives each up after a fixed time and begins it anew at one other engine. */
final class FixedLimitEntry implements ReadingDay.Entry {
    private static final long LIMIT_MILLIS = 600;
    private static final int MAX_ENGINES = 2;
    private static final long COME_BACK_MILLIS = 3_000;

    private final long[] own;
    private final Random random;

    FixedLimitEntry(int engines, int entries, Random random) {
        this.own = new long[engines];
        this.random = random;
    }

    @Override
    public int place(ReadingDay.Prompt prompt, long now) {
        if (prompt.tries >= MAX_ENGINES) {
            return -1;
        }
        int avoided = prompt.tries == 0 ? -1 : prompt.engine;
        int first = random.nextInt(own.length);
        return IntStream.range(0, own.length)
                .map(i -> (i + first) % own.length)
                .filter(engine -> engine != avoided)
                .reduce((one, other) -> own[other] < own[one] ? other : one)
                .orElse(-1);
    }

    @Override
    public boolean givesUp(ReadingDay.Prompt prompt, long now) {
        return now - prompt.begun >= LIMIT_MILLIS;
    }

    @Override
    public void began(ReadingDay.Prompt prompt, long now) {
        own[prompt.engine] += prompt.tokens;
    }

    @Override
    public void read(ReadingDay.Prompt prompt, long now) {
        own[prompt.engine] -= prompt.tokens;
    }

    @Override
    public void cancelled(ReadingDay.Prompt prompt) {
        own[prompt.engine] -= prompt.tokens;
    }

    @Override
    public long comeBackMillis(ReadingDay.Prompt prompt, long now) {
        return Math.round(COME_BACK_MILLIS * (0.75 + 0.5 * random.nextDouble()));
    }
}
