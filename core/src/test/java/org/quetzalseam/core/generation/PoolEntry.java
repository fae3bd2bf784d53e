package org.quetzalseam.core.generation;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** An entry that does what its {@link ReadingPool} says. */
final class PoolEntry implements ReadingDay.Entry {
    private final ReadingPool<Integer> pool = new ReadingPool<>();
    private final List<Integer> engines;
    private final Map<ReadingDay.Prompt, ReadingPool<Integer>.Reading> underWay = new HashMap<>();
    private final Random random;

    PoolEntry(int engines, int entries, Random random) {
        this.engines = IntStream.range(0, engines).boxed().toList();
        this.random = random;
        pool.entries(entries);
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static ReadingPool.Due due(ReadingDay.Prompt prompt, long now) {
        return new ReadingPool.Due(prompt.inTimeMillis(now), prompt.leftMillis(now), ReadingDay.OBJECTIVE);
    }

    private int best(ReadingDay.Prompt prompt, long now) {
        int first = random.nextInt(engines.size());
        Comparator<Integer> ties = Comparator.comparing(engine -> (engine + first) % engines.size());
        return pool.best(engines, prompt.tokens, nanos(now), ties).orElseThrow();
    }

    @Override
    public int place(ReadingDay.Prompt prompt, long now) {
        int best = best(prompt, now);
        return pool.judge(best, engines.size(), prompt.tokens, due(prompt, now), nanos(now))
                        == ReadingPool.Verdict.BEGIN
                ? best
                : -1;
    }

    @Override
    public boolean givesUp(ReadingDay.Prompt prompt, long now) {
        ReadingPool<Integer>.Reading reading = underWay.get(prompt);
        return reading != null && reading.lost(engines, false, nanos(now));
    }

    @Override
    public void began(ReadingDay.Prompt prompt, long now) {
        underWay.put(prompt, pool.begin(prompt.engine, prompt.tokens, nanos(now), ReadingDay.OBJECTIVE));
    }

    @Override
    public void read(ReadingDay.Prompt prompt, long now) {
        underWay.remove(prompt).read(nanos(now), (double) (now - prompt.begun), ReadingDay.OBJECTIVE);
    }

    @Override
    public void cancelled(ReadingDay.Prompt prompt) {
        underWay.remove(prompt).ended();
    }

    @Override
    public long comeBackMillis(ReadingDay.Prompt prompt, long now) {
        double drained = pool.comeBackMillis(best(prompt, now), ReadingDay.OBJECTIVE, nanos(now));
        return Math.round(drained * (0.75 + 0.5 * random.nextDouble()));
    }
}
