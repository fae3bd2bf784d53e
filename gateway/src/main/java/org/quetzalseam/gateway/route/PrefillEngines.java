package org.quetzalseam.gateway.route;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.generation.ReadingPool;
import org.quetzalseam.gateway.endpoint.Endpoint;

/** A service's prefill engines as this entry sees them. Used on the event loop only. */
final class PrefillEngines {
    /** How often engines that are gone are forgotten, in milliseconds. */
    private static final long FORGET_INTERVAL_MILLIS = 10_000;

    private final RunContext context;
    private final String service;
    private final ReadingPool<Endpoint> pool = new ReadingPool<>();

    PrefillEngines(RunContext context, String service) {
        this.context = context;
        this.service = service;
        context.timers().every(FORGET_INTERVAL_MILLIS, this::forgetRemoved);
    }

    private void forgetRemoved() {
        pool.forget(engine -> !context.directory().usable(engine));
    }

    /** Sets among how many entries the engines are shared. */
    void entries(int counted) {
        pool.entries(counted);
    }

    private List<Endpoint> usable() {
        return EngineExclusion.withoutExcluded(context.directory().usable(service, Stage.PREFILL), context.now());
    }

    /** Returns the engine that is predicted to have read a prompt first, one in the zone among equals. */
    Optional<Endpoint> best(int tokens, Collection<Endpoint> excluded, String zone) {
        long now = context.now();
        List<Endpoint> reachable = usable().stream()
                .filter(engine -> !excluded.contains(engine) && engine.reachable())
                .toList();
        List<Endpoint> healthy = reachable.stream()
                .filter(engine -> !engine.health().suspect(now))
                .toList();
        Comparator<Endpoint> ties = Comparator.<Endpoint, Boolean>comparing(
                        engine -> !engine.member().zone().equals(zone))
                .thenComparing(engine -> ThreadLocalRandom.current().nextInt());
        return pool.best(healthy.isEmpty() ? reachable : healthy, tokens, now, ties);
    }

    /** Returns whether a prompt is worth beginning at an engine. */
    ReadingPool.Verdict judge(Endpoint engine, int tokens, ReadingPool.Due remaining) {
        return pool.judge(engine, usable().size(), tokens, remaining, context.now());
    }

    /** Returns the usual time of a prefill engine for a token in milliseconds; 0 before any prompt has been read. */
    double millisPerToken() {
        return pool.millisPerToken();
    }

    /** Returns whether a prompt's first event is predicted to miss the objective. */
    boolean missesObjective(Endpoint engine, int tokens, ReadingPool.Due remaining) {
        return firstEventMillis(engine, tokens) > remaining.inTimeMillis();
    }

    /** Returns the inputs of a verdict on a prompt, for the log. */
    String describeInputs(Endpoint engine, int tokens, ReadingPool.Due remaining) {
        long now = context.now();
        return String.format(
                "predicted_ms=%.0f queue_ms=%.0f in_time_ms=%.0f left_ms=%.0f tokens=%d share_left=%.0f",
                pool.firstEventMillis(engine, tokens, now),
                pool.queueMillis(engine, now),
                remaining.inTimeMillis(),
                remaining.leftMillis(),
                tokens,
                pool.shareLeft());
    }

    /** Returns when a prompt's first event comes that an engine begins now, in milliseconds. */
    double firstEventMillis(Endpoint engine, int tokens) {
        return pool.firstEventMillis(engine, tokens, context.now());
    }

    /** Notes when a generation's prompt was read, 0 for one that no engine here has read, and when its first event came. */
    void recordFirstEvent(long prefilledAtMillis, long firstEventMillis) {
        if (prefilledAtMillis > 0 && firstEventMillis > prefilledAtMillis) {
            pool.firstEvent((double) (firstEventMillis - prefilledAtMillis));
        }
    }

    ReadingPool<Endpoint>.Reading begin(Endpoint engine, int tokens, ReadingPool.Due remaining) {
        return pool.begin(engine, tokens, context.now(), remaining.objectiveMillis());
    }

    /** Returns whether a reading is to be begun elsewhere. */
    boolean isLost(ReadingPool<Endpoint>.Reading prefill, Endpoint engine) {
        boolean removed = !engine.member().leaving() && !context.directory().usable(engine);
        return prefill.lost(usable(), removed, context.now());
    }

    /** Returns when the shortest backlog lets in more, in milliseconds; 0 where nothing reads. */
    double retryAfterMillis(double objectiveMillis) {
        long now = context.now();
        return usable().stream()
                .mapToDouble(engine -> pool.comeBackMillis(engine, objectiveMillis, now))
                .min()
                .orElse(0);
    }
}
