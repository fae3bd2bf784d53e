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
    private final InPlacePrefill<Endpoint> inPlace = new InPlacePrefill<>();
    private final PrefillQueue<PrefillRequest> queue = new PrefillQueue<>();
    private boolean checkScheduled;

    PrefillScheduler(RunContext context, String service, PrefillEngines readers) {
        this.context = context;
        this.service = service;
        this.engines = readers;
        context.timers()
                .every(
                        FORGET_INTERVAL_MILLIS,
                        () -> inPlace.removeEngines(
                                engine -> !context.directory().usable(engine)));
    }

    /** Sets among how many entries the engines are divided, and this one's place among them. */
    void entries(EntryCount counted) {
        inPlace.updateEntries(counted.entries(), counted.rank());
    }

    /** Lets a prompt begin when it is its turn; its outcome may follow before this call returns. */
    void submit(PrefillRequest turn) {
        PrefillPlanner.Deadline due = turn.remaining();
        if (queue.mustQueue(due, context.now()) || !decide(turn, due)) {
            turn.queueEntry(queue.add(turn, due, context.now()));
            best(turn)
                    .ifPresent(engine ->
                            turn.logQueued(engine, judge(turn, engine, due), describeInputs(turn, engine, due)));
            scheduleCheck();
        }
    }

    /** Takes a prompt out that isn't to be read any more. Harmless when it doesn't wait. */
    void remove(PrefillRequest turn) {
        PrefillQueue<PrefillRequest>.Position place = turn.queueEntry();
        if (place != null) {
            queue.remove(place);
        }
    }

    /** Begins or refuses a prompt, if either is due. */
    private boolean decide(PrefillRequest turn, PrefillPlanner.Deadline due) {
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
    private boolean tryDecodeEngine(PrefillRequest turn, Endpoint reader, PrefillPlanner.Deadline due) {
        boolean inTimeHere = due.untilObjectiveMillis() > turn.promptTokens() * engines.millisPerToken();
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

    private boolean tryPrefillEngine(PrefillRequest turn, Endpoint reader, PrefillPlanner.Deadline due) {
        PrefillPlanner.Verdict verdict = judge(turn, reader, due);
        if (verdict == PrefillPlanner.Verdict.BEGIN) {
            remove(turn);
            turn.beginPrefill(Optional.of(reader));
            return true;
        }
        PrefillQueue<PrefillRequest>.Position place = turn.queueEntry();
        boolean waitedLong = place != null && place.hasExpired(context.now());
        if (waitedLong || verdict == PrefillPlanner.Verdict.CALLER_LEAVES_SOONER) {
            remove(turn);
            turn.refuse(reader, verdict, describeInputs(turn, reader, due));
            return true;
        }
        return false;
    }

    private Optional<Endpoint> best(PrefillRequest turn) {
        return engines.best(turn.promptTokens(), List.of(), context.settings().zone());
    }

    private PrefillPlanner.Verdict judge(PrefillRequest turn, Endpoint reader, PrefillPlanner.Deadline due) {
        return engines.judge(reader, turn.promptTokens(), due);
    }

    private String describeInputs(PrefillRequest turn, Endpoint reader, PrefillPlanner.Deadline due) {
        PrefillQueue<PrefillRequest>.Position place = turn.queueEntry();
        long waited = place == null ? 0 : place.waitedMillis(context.now());
        return engines.describeInputs(reader, turn.promptTokens(), due) + " waited_ms=" + waited + " waiting="
                + queue.size();
    }

    /** Returns a decode engine that may read the prompt now. */
    private Optional<Endpoint> decoder(PrefillRequest turn) {
        long now = context.now();
        double pace = engines.millisPerToken();
        Optional<Endpoint> engine = inPlace.selectEngine(
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
        for (PrefillQueue<PrefillRequest>.Position place : queue.inOrder(context.now())) {
            PrefillRequest turn = place.prompt();
            decide(turn, turn.remaining());
            if (queue.size() < before) {
                return;
            }
        }
    }
}
