package org.quetzalseam.gateway.route;

import java.util.List;
import java.util.Optional;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.generation.ReadingInPlace;
import org.quetzalseam.core.generation.ReadingLine;
import org.quetzalseam.core.generation.ReadingPool;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.entry.EntryCount;

/**
 * Decides for this entry's generations when and where their prompts are read: by a prefill engine while those keep up, else by a
 * decode engine between the tokens of its streams, else later. Used on the event loop only.
 */
final class PrefillScheduler {
    /** How often those who wait are looked at, in milliseconds: a part of the time that reading a prompt takes. */
    private static final long CHECK_INTERVAL_MILLIS = 20;
    /** How often engines that are gone are forgotten, in milliseconds. */
    private static final long FORGET_INTERVAL_MILLIS = 10_000;

    private final RunContext context;
    private final String service;
    private final PrefillEngines engines;
    private final ReadingInPlace<Endpoint> inPlace = new ReadingInPlace<>();
    private final ReadingLine<PrefillRequest> queue = new ReadingLine<>();
    private boolean checkScheduled;

    PrefillScheduler(RunContext context, String service, PrefillEngines readers) {
        this.context = context;
        this.service = service;
        this.engines = readers;
        context.timers()
                .every(
                        FORGET_INTERVAL_MILLIS,
                        () -> inPlace.forget(engine -> !context.directory().usable(engine)));
    }

    /** Sets among how many entries the engines are divided, and this one's place among them. */
    void entries(EntryCount counted) {
        inPlace.entries(counted.entries(), counted.rank());
    }

    /** Lets a prompt begin when it is its turn; its outcome may follow before this call returns. */
    void submit(PrefillRequest turn) {
        ReadingPool.Due due = turn.remaining();
        if (queue.mustQueue(due, context.now()) || !decide(turn, due)) {
            turn.queueEntry(queue.enter(turn, due, context.now()));
            best(turn)
                    .ifPresent(engine ->
                            turn.logQueued(engine, judge(turn, engine, due), describeInputs(turn, engine, due)));
            scheduleCheck();
        }
    }

    /** Takes a prompt out that isn't to be read any more. Harmless when it doesn't wait. */
    void remove(PrefillRequest turn) {
        ReadingLine<PrefillRequest>.Place place = turn.queueEntry();
        if (place != null) {
            queue.leave(place);
        }
    }

    /** Begins or refuses a prompt, if either is due. */
    private boolean decide(PrefillRequest turn, ReadingPool.Due due) {
        Optional<Endpoint> best = best(turn);
        if (best.isEmpty()) {
            remove(turn);
            turn.beginPrefill(best);
            return true;
        }
        Endpoint reader = best.get();
        return tryDecodeEngine(turn, reader, due) || tryPrefillEngine(turn, reader, due);
    }

    /**
     * A prompt that a prefill engine would read too late goes to a decode engine that is in time with it; once, as one without room
     * has none for it soon. Those who are late anyway don't hold up others' streams.
     */
    private boolean tryDecodeEngine(PrefillRequest turn, Endpoint reader, ReadingPool.Due due) {
        boolean inTimeHere = due.inTimeMillis() > turn.promptTokens() * engines.millisPerToken();
        if (turn.triedInPlace() || !inTimeHere || !engines.missesObjective(reader, turn.promptTokens(), due)) {
            return false;
        }
        Optional<Endpoint> decoder = decoder(turn);
        decoder.ifPresent(engine -> {
            remove(turn);
            turn.beginInPlace(engine);
        });
        return decoder.isPresent();
    }

    private boolean tryPrefillEngine(PrefillRequest turn, Endpoint reader, ReadingPool.Due due) {
        ReadingPool.Verdict verdict = judge(turn, reader, due);
        if (verdict == ReadingPool.Verdict.BEGIN) {
            remove(turn);
            turn.beginPrefill(Optional.of(reader));
            return true;
        }
        ReadingLine<PrefillRequest>.Place place = turn.queueEntry();
        boolean waitedLong = place != null && place.expired(context.now());
        if (waitedLong || verdict == ReadingPool.Verdict.CALLER_LEAVES_SOONER) {
            remove(turn);
            turn.refuse(reader, verdict, describeInputs(turn, reader, due));
            return true;
        }
        return false;
    }

    private Optional<Endpoint> best(PrefillRequest turn) {
        return engines.best(turn.promptTokens(), List.of(), context.settings().zone());
    }

    private ReadingPool.Verdict judge(PrefillRequest turn, Endpoint reader, ReadingPool.Due due) {
        return engines.judge(reader, turn.promptTokens(), due);
    }

    private String describeInputs(PrefillRequest turn, Endpoint reader, ReadingPool.Due due) {
        ReadingLine<PrefillRequest>.Place place = turn.queueEntry();
        long waited = place == null ? 0 : place.waitedMillis(context.now());
        return engines.describeInputs(reader, turn.promptTokens(), due) + " waited_ms=" + waited + " waiting="
                + queue.size();
    }

    /** Returns a decode engine that may read the prompt now. */
    private Optional<Endpoint> decoder(PrefillRequest turn) {
        long now = context.now();
        double pace = engines.millisPerToken();
        Optional<Endpoint> engine = inPlace.engine(
                        context.directory().usable(service, Stage.DECODE),
                        candidate -> candidate.member().id(),
                        turn.promptTokens(),
                        pace,
                        turn.maxPauseMillis(),
                        now)
                .filter(free -> free.hasFreeConnection()
                        && !free.excluded(now)
                        && !free.health().isSuspect(now));
        engine.ifPresent(chosen -> inPlace.begin(chosen, turn.promptTokens(), pace, now));
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

    /** Lets at most one begin or end: what a prompt takes of the engines' time shows only when it is sent. */
    private void checkQueue() {
        int before = queue.size();
        for (ReadingLine<PrefillRequest>.Place place : queue.order(context.now())) {
            PrefillRequest turn = place.waiting();
            decide(turn, turn.remaining());
            if (queue.size() < before) {
                return;
            }
        }
    }
}
