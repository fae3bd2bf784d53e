package org.quetzalseam.core.generation;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** An entry that follows the decisions of its {@link PrefillPlanner}. */
final class PlannerEntry implements PrefillSimulation.Entry {
    private final PrefillPlanner<Integer> planner = new PrefillPlanner<>();
    private final List<Integer> engines;
    private final Map<PrefillSimulation.Prompt, PrefillPlanner<Integer>.Prefill> inProgress = new HashMap<>();
    private final Random random;

    PlannerEntry(int engines, int entries, Random random) {
        this.engines = IntStream.range(0, engines).boxed().toList();
        this.random = random;
        planner.updateEntryCount(entries);
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static PrefillPlanner.Deadline deadline(PrefillSimulation.Prompt prompt, long now) {
        return new PrefillPlanner.Deadline(
                prompt.untilObjectiveMillis(now), prompt.untilAbandonedMillis(now), PrefillSimulation.OBJECTIVE_MILLIS);
    }

    private int selectEngine(PrefillSimulation.Prompt prompt, long now) {
        int first = random.nextInt(engines.size());
        Comparator<Integer> ties = Comparator.comparing(engine -> (engine + first) % engines.size());
        return planner.selectEngine(engines, prompt.tokens, nanos(now), ties).orElseThrow();
    }

    @Override
    public int place(PrefillSimulation.Prompt prompt, long now) {
        int best = selectEngine(prompt, now);
        return planner.judge(best, engines.size(), prompt.tokens, deadline(prompt, now), nanos(now))
                        == PrefillPlanner.Verdict.BEGIN
                ? best
                : -1;
    }

    @Override
    public boolean shouldRetry(PrefillSimulation.Prompt prompt, long now) {
        PrefillPlanner<Integer>.Prefill prefill = inProgress.get(prompt);
        return prefill != null && prefill.shouldRetryElsewhere(engines, false, nanos(now));
    }

    @Override
    public void began(PrefillSimulation.Prompt prompt, long now) {
        inProgress.put(
                prompt, planner.begin(prompt.engine, prompt.tokens, nanos(now), PrefillSimulation.OBJECTIVE_MILLIS));
    }

    @Override
    public void completed(PrefillSimulation.Prompt prompt, long now) {
        inProgress
                .remove(prompt)
                .completed(nanos(now), (double) (now - prompt.begunAt), PrefillSimulation.OBJECTIVE_MILLIS);
    }

    @Override
    public void cancelled(PrefillSimulation.Prompt prompt) {
        inProgress.remove(prompt).aborted();
    }

    @Override
    public long retryAfterMillis(PrefillSimulation.Prompt prompt, long now) {
        double afterMillis =
                planner.retryAfterMillis(selectEngine(prompt, now), PrefillSimulation.OBJECTIVE_MILLIS, nanos(now));
        return Math.round(afterMillis * (0.75 + 0.5 * random.nextDouble()));
    }
}
