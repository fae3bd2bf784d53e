package org.quetzalseam.gateway.route;

import java.util.List;
import java.util.Optional;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.generation.InPlacePrefill;
import org.quetzalseam.core.generation.PrefillPlanner;
import org.quetzalseam.core.generation.PrefillQueue;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.entry.EntryCount;

/**
 * Decides when and where the prompts of this entry's generations are prefilled: by a prefill engine while these keep up,
 * else by a decode engine between the tokens of its streams, else later. Used on the event loop only.
 */
final class PrefillScheduler {
    /** Interval between two checks of the queue, in milliseconds: a fraction of the time that a prefill takes. */
    private static final long CHECK_INTERVAL_MILLIS = 20;
    /** Interval at which removed engines are forgotten, in milliseconds. */
    private static final long FORGET_INTERVAL_MILLIS = 10_000;

    private final RunContext context;
    private final String service;
    private final PrefillEngines engines;
    private final InPlacePrefill<Endpoint> inPlace = new InPlacePrefill<>();
    private final PrefillQueue<PrefillRequest> queue = new PrefillQueue<>();
    private boolean checkScheduled;

    PrefillScheduler(RunContext context, String service, PrefillEngines engines) {
        this.context = context;
        this.service = service;
        this.engines = engines;
        context.timers()
                .every(
                        FORGET_INTERVAL_MILLIS,
                        () -> inPlace.removeEngines(
                                engine -> !context.directory().usable(engine)));
    }

    /** Sets the number of entries among which the engines are divided, and this entry's rank. */
    void entries(EntryCount counted) {
        inPlace.updateEntries(counted.entries(), counted.rank());
    }

    /** Begins, refuses or queues a prompt; its listener may be called before this method returns. */
    void submit(PrefillRequest request) {
        PrefillPlanner.Deadline remaining = request.remaining();
        if (queue.mustQueue(remaining, context.now()) || !decide(request, remaining)) {
            request.queuePosition(queue.add(request, remaining, context.now()));
            best(request)
                    .ifPresent(engine -> request.logQueued(
                            engine, judge(request, engine, remaining), describeInputs(request, engine, remaining)));
            scheduleCheck();
        }
    }

    /** Removes a prompt that no longer needs prefill from the queue. Does nothing if it is not queued. */
    void remove(PrefillRequest request) {
        PrefillQueue<PrefillRequest>.Position position = request.queuePosition();
        if (position != null) {
            queue.remove(position);
        }
    }

    /** Begins or refuses a prompt if possible now. Returns whether it did. */
    private boolean decide(PrefillRequest request, PrefillPlanner.Deadline remaining) {
        Optional<Endpoint> best = best(request);
        if (best.isEmpty()) {
            remove(request);
            request.beginPrefill(best);
            return true;
        }
        Endpoint prefillEngine = best.get();
        return tryDecodeEngine(request, prefillEngine, remaining)
                || tryPrefillEngine(request, prefillEngine, remaining);
    }

    /**
     * Sends a prompt that a prefill engine would finish too late to a decode engine that finishes it in time. Tries this
     * once per prompt, because a decode engine without room will not have room for it soon. Prompts that are late in any
     * case do not delay the streams of others.
     */
    private boolean tryDecodeEngine(PrefillRequest request, Endpoint prefillEngine, PrefillPlanner.Deadline remaining) {
        boolean inTimeInPlace = remaining.untilObjectiveMillis() > request.promptTokens() * engines.millisPerToken();
        if (request.triedInPlace()
                || !inTimeInPlace
                || !engines.missesObjective(prefillEngine, request.promptTokens(), remaining)) {
            return false;
        }
        Optional<Endpoint> decodeEngine = findDecodeEngine(request);
        decodeEngine.ifPresent(engine -> {
            remove(request);
            request.beginInPlace(engine);
        });
        return decodeEngine.isPresent();
    }

    private boolean tryPrefillEngine(
            PrefillRequest request, Endpoint prefillEngine, PrefillPlanner.Deadline remaining) {
        PrefillPlanner.Verdict verdict = judge(request, prefillEngine, remaining);
        if (verdict == PrefillPlanner.Verdict.BEGIN) {
            remove(request);
            request.beginPrefill(Optional.of(prefillEngine));
            return true;
        }
        PrefillQueue<PrefillRequest>.Position position = request.queuePosition();
        boolean waitedLong = position != null && position.hasExpired(context.now());
        if (waitedLong || verdict == PrefillPlanner.Verdict.CALLER_LEAVES_SOONER) {
            remove(request);
            request.refuse(prefillEngine, verdict, describeInputs(request, prefillEngine, remaining));
            return true;
        }
        return false;
    }

    private Optional<Endpoint> best(PrefillRequest request) {
        return engines.best(
                request.promptTokens(), List.of(), context.settings().zone());
    }

    private PrefillPlanner.Verdict judge(
            PrefillRequest request, Endpoint prefillEngine, PrefillPlanner.Deadline remaining) {
        return engines.judge(prefillEngine, request.promptTokens(), remaining);
    }

    private String describeInputs(PrefillRequest request, Endpoint prefillEngine, PrefillPlanner.Deadline remaining) {
        PrefillQueue<PrefillRequest>.Position position = request.queuePosition();
        long waitedMillis = position == null ? 0 : position.waitedMillis(context.now());
        return engines.describeInputs(prefillEngine, request.promptTokens(), remaining) + " waited_ms=" + waitedMillis
                + " waiting=" + queue.size();
    }

    /** Returns a decode engine that may prefill the prompt now, and records the prompt as begun there. */
    private Optional<Endpoint> findDecodeEngine(PrefillRequest request) {
        long now = context.now();
        double millisPerToken = engines.millisPerToken();
        Optional<Endpoint> engine = inPlace.selectEngine(
                        context.directory().usable(service, Stage.DECODE).stream()
                                .filter(request::mayRunAt)
                                .toList(),
                        candidate -> candidate.member().id(),
                        request.promptTokens(),
                        millisPerToken,
                        request.maxPauseMillis(),
                        now)
                .filter(free -> free.hasFreeConnection()
                        && !free.limits().limited()
                        && !free.excluded(now)
                        && !free.health().isSuspect(now));
        engine.ifPresent(chosen -> inPlace.begin(chosen, request.promptTokens(), millisPerToken, now));
        return engine;
    }

    private void scheduleCheck() {
        if (!queue.isEmpty() && !checkScheduled) {
            checkScheduled = true;
            context.after(CHECK_INTERVAL_MILLIS, () -> {
                checkScheduled = false;
                checkQueue();
                scheduleCheck();
            });
        }
    }

    /** Begins or refuses at most one prompt: the load that a prompt adds to the engines is known only after it is sent. */
    private void checkQueue() {
        int sizeBefore = queue.size();
        for (PrefillQueue<PrefillRequest>.Position position : queue.inOrder(context.now())) {
            PrefillRequest request = position.prompt();
            decide(request, request.remaining());
            if (queue.size() < sizeBefore) {
                return;
            }
        }
    }
}
