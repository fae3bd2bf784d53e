package org.quetzalseam.core.generation;

import java.util.Random;
import java.util.stream.IntStream;

/** An entry that counts its own prompts, cancels each after a fixed time and retries it at one other engine. */
final class FixedTimeoutEntry implements PrefillSimulation.Entry {
    private static final long TIMEOUT_MILLIS = 600;
    private static final int MAX_ENGINES = 2;
    private static final long RETRY_AFTER_MILLIS = 3_000;

    private final long[] ownTokens;
    private final Random random;

    FixedTimeoutEntry(int engines, int entries, Random random) {
        this.ownTokens = new long[engines];
        this.random = random;
    }

    @Override
    public int place(PrefillSimulation.Prompt prompt, long now) {
        if (prompt.attempts >= MAX_ENGINES) {
            return -1;
        }
        int avoided = prompt.attempts == 0 ? -1 : prompt.engine;
        int first = random.nextInt(ownTokens.length);
        return IntStream.range(0, ownTokens.length)
                .map(i -> (i + first) % ownTokens.length)
                .filter(engine -> engine != avoided)
                .reduce((one, other) -> ownTokens[other] < ownTokens[one] ? other : one)
                .orElse(-1);
    }

    @Override
    public boolean shouldRetry(PrefillSimulation.Prompt prompt, long now) {
        return now - prompt.begunAt >= TIMEOUT_MILLIS;
    }

    @Override
    public void began(PrefillSimulation.Prompt prompt, long now) {
        ownTokens[prompt.engine] += prompt.tokens;
    }

    @Override
    public void completed(PrefillSimulation.Prompt prompt, long now) {
        ownTokens[prompt.engine] -= prompt.tokens;
    }

    @Override
    public void cancelled(PrefillSimulation.Prompt prompt) {
        ownTokens[prompt.engine] -= prompt.tokens;
    }

    @Override
    public long retryAfterMillis(PrefillSimulation.Prompt prompt, long now) {
        return Math.round(RETRY_AFTER_MILLIS * (0.75 + 0.5 * random.nextDouble()));
    }
}
