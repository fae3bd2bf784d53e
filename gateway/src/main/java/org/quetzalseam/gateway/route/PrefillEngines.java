package org.quetzalseam.gateway.route;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.generation.PrefillPlanner;
import org.quetzalseam.gateway.endpoint.Endpoint;

/** The prefill engines of a service, with this entry's estimates of their backlog. Used on the event loop only. */
final class PrefillEngines {
    /** Interval at which removed engines are forgotten, in milliseconds. */
    private static final long FORGET_INTERVAL_MILLIS = 10_000;

    private final RunContext context;
    private final String service;
    private final PrefillPlanner<Endpoint> planner = new PrefillPlanner<>();

    PrefillEngines(RunContext context, String service) {
        this.context = context;
        this.service = service;
        context.timers().every(FORGET_INTERVAL_MILLIS, this::forgetRemoved);
    }

    private void forgetRemoved() {
        planner.removeEngines(engine -> !context.directory().usable(engine));
    }

    /** Sets the number of entries that share the engines. */
    void entries(int counted) {
        planner.updateEntryCount(counted);
    }

    private List<Endpoint> usable() {
        long now = context.now();
        List<Endpoint> engines =
                EngineExclusion.withoutLimited(context.directory().usable(service, Stage.PREFILL), now);
        return EngineExclusion.withoutExcluded(engines, now);
    }

    /** Returns whether all engines state limits, so that a prompt has to wait for its turn. */
    boolean allLimited() {
        return context.directory().usable(service, Stage.PREFILL).stream()
                .allMatch(engine -> engine.limits().limited());
    }

    /** Returns the engine that is predicted to finish prefilling a prompt first; among equals, one in the zone. */
    Optional<Endpoint> best(int tokens, Collection<Endpoint> excluded, String zone) {
        long now = context.now();
        List<Endpoint> reachable = usable().stream()
                .filter(engine -> !excluded.contains(engine) && engine.hasFreeConnection())
                .toList();
        List<Endpoint> healthy = reachable.stream()
                .filter(engine -> !engine.health().isSuspect(now))
                .toList();
        Comparator<Endpoint> ties = Comparator.<Endpoint, Boolean>comparing(
                        engine -> !engine.member().zone().equals(zone))
                .thenComparing(engine -> ThreadLocalRandom.current().nextInt());
        return planner.selectEngine(healthy.isEmpty() ? reachable : healthy, tokens, now, ties);
    }

    /** Returns whether an engine should begin a prompt now. */
    PrefillPlanner.Verdict judge(Endpoint engine, int tokens, PrefillPlanner.Deadline remaining) {
        return planner.judge(engine, usable().size(), tokens, remaining, context.now());
    }

    /** Returns the usual prefill time per token in milliseconds; 0 before any prompt has been prefilled. */
    double millisPerToken() {
        return planner.millisPerToken();
    }

    /** Returns whether the first event for a prompt is predicted to miss the objective. */
    boolean missesObjective(Endpoint engine, int tokens, PrefillPlanner.Deadline remaining) {
        return firstEventMillis(engine, tokens) > remaining.untilObjectiveMillis();
    }

    /** Returns the inputs of a verdict on a prompt as {@code key=value} pairs for the log. */
    String describeInputs(Endpoint engine, int tokens, PrefillPlanner.Deadline remaining) {
        long now = context.now();
        return String.format(
                "predicted_ms=%.0f queue_ms=%.0f in_time_ms=%.0f left_ms=%.0f tokens=%d share_left=%.0f",
                planner.predictFirstEventMillis(engine, tokens, now),
                planner.queueMillis(engine, now),
                remaining.untilObjectiveMillis(),
                remaining.untilAbandonedMillis(),
                tokens,
                planner.shareLeft());
    }

    /** Returns the predicted time until the first event for a prompt that an engine begins now, in milliseconds. */
    double firstEventMillis(Endpoint engine, int tokens) {
        return planner.predictFirstEventMillis(engine, tokens, context.now());
    }

    /** Records when a generation's prompt was prefilled, 0 if no prefill engine did so, and when its first event came. */
    void recordFirstEvent(long prefilledAtMillis, long firstEventMillis) {
        if (prefilledAtMillis > 0 && firstEventMillis > prefilledAtMillis) {
            planner.recordFirstEvent((double) (firstEventMillis - prefilledAtMillis));
        }
    }

    PrefillPlanner<Endpoint>.Prefill begin(Endpoint engine, int tokens, PrefillPlanner.Deadline remaining) {
        return planner.begin(engine, tokens, context.now(), remaining.objectiveMillis());
    }

    /** Returns whether a prefill should be restarted at another engine. */
    boolean isLost(PrefillPlanner<Endpoint>.Prefill prefill, Endpoint engine) {
        boolean removed = !engine.member().draining() && !context.directory().usable(engine);
        return prefill.shouldRetryElsewhere(usable(), removed, context.now());
    }

    /** Returns the time until the shortest backlog admits more prompts, in milliseconds; 0 if there are no prefill engines. */
    double retryAfterMillis(double objectiveMillis) {
        long now = context.now();
        return usable().stream()
                .mapToDouble(engine -> planner.retryAfterMillis(engine, objectiveMillis, now))
                .min()
                .orElse(0);
    }
}
