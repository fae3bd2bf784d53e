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
final class ReadingTurns {
    /** How often those who wait are looked at, in milliseconds: a part of the time that reading a prompt takes. */
    private static final long LOOK_MILLIS = 20;
    /** How often engines that are gone are forgotten, in milliseconds. */
    private static final long FORGET_MILLIS = 10_000;

    private final RunContext context;
    private final String service;
    private final PromptReaders readers;
    private final ReadingInPlace<Endpoint> inPlace = new ReadingInPlace<>();
    private final ReadingLine<ReadingTurn> line = new ReadingLine<>();
    private boolean looking;

    ReadingTurns(RunContext context, String service, PromptReaders readers) {
        this.context = context;
        this.service = service;
        this.readers = readers;
        context.timers()
                .every(
                        FORGET_MILLIS,
                        () -> inPlace.forget(engine -> !context.directory().usable(engine)));
    }

    /** Sets among how many entries the engines are divided, and this one's place among them. */
    void entries(EntryCount counted) {
        inPlace.entries(counted.entries(), counted.rank());
    }

    /** Lets a prompt begin when it is its turn; its outcome may follow before this call returns. */
    void enter(ReadingTurn turn) {
        ReadingPool.Due due = turn.due();
        if (line.mustQueue(due, context.now()) || !decide(turn, due)) {
            turn.place(line.enter(turn, due, context.now()));
            best(turn).ifPresent(engine -> turn.waits(engine, judge(turn, engine, due), inputs(turn, engine, due)));
            lookAgain();
        }
    }

    /** Takes a prompt out that isn't to be read any more. Harmless when it doesn't wait. */
    void leave(ReadingTurn turn) {
        ReadingLine<ReadingTurn>.Place place = turn.place();
        if (place != null) {
            line.leave(place);
        }
    }

    /** Begins or refuses a prompt, if either is due. */
    private boolean decide(ReadingTurn turn, ReadingPool.Due due) {
        Optional<Endpoint> best = best(turn);
        if (best.isEmpty()) {
            leave(turn);
            turn.begin(best);
            return true;
        }
        Endpoint reader = best.get();
        return readInPlace(turn, reader, due) || readApart(turn, reader, due);
    }

    /**
     * A prompt that a prefill engine would read too late goes to a decode engine that is in time with it; once, as one without room
     * has none for it soon. Those who are late anyway don't hold up others' streams.
     */
    private boolean readInPlace(ReadingTurn turn, Endpoint reader, ReadingPool.Due due) {
        boolean inTimeHere = due.inTimeMillis() > turn.promptTokens() * readers.millisPerToken();
        if (turn.triedInPlace() || !inTimeHere || !readers.late(reader, turn.promptTokens(), due)) {
            return false;
        }
        Optional<Endpoint> decoder = decoder(turn);
        decoder.ifPresent(engine -> {
            leave(turn);
            turn.beginAt(engine);
        });
        return decoder.isPresent();
    }

    private boolean readApart(ReadingTurn turn, Endpoint reader, ReadingPool.Due due) {
        ReadingPool.Verdict verdict = judge(turn, reader, due);
        if (verdict == ReadingPool.Verdict.BEGIN) {
            leave(turn);
            turn.begin(Optional.of(reader));
            return true;
        }
        ReadingLine<ReadingTurn>.Place place = turn.place();
        boolean waitedLong = place != null && place.expired(context.now());
        if (waitedLong || verdict == ReadingPool.Verdict.CALLER_LEAVES_SOONER) {
            leave(turn);
            turn.refuse(reader, verdict, inputs(turn, reader, due));
            return true;
        }
        return false;
    }

    private Optional<Endpoint> best(ReadingTurn turn) {
        return readers.best(turn.promptTokens(), List.of(), context.settings().zone());
    }

    private ReadingPool.Verdict judge(ReadingTurn turn, Endpoint reader, ReadingPool.Due due) {
        return readers.judge(reader, turn.promptTokens(), due);
    }

    private String inputs(ReadingTurn turn, Endpoint reader, ReadingPool.Due due) {
        ReadingLine<ReadingTurn>.Place place = turn.place();
        long waited = place == null ? 0 : place.waitedMillis(context.now());
        return readers.inputs(reader, turn.promptTokens(), due) + " waited_ms=" + waited + " waiting=" + line.size();
    }

    /** Returns a decode engine that may read the prompt now. */
    private Optional<Endpoint> decoder(ReadingTurn turn) {
        long now = context.now();
        double pace = readers.millisPerToken();
        Optional<Endpoint> engine = inPlace.engine(
                        context.directory().usable(service, Stage.DECODE),
                        candidate -> candidate.member().id(),
                        turn.promptTokens(),
                        pace,
                        turn.pauseMillis(),
                        now)
                .filter(free ->
                        free.reachable() && !free.leftOut(now) && !free.health().suspect(now));
        engine.ifPresent(chosen -> inPlace.begin(chosen, turn.promptTokens(), pace, now));
        return engine;
    }

    private void lookAgain() {
        if (!line.isEmpty() && !looking) {
            looking = true;
            context.after(LOOK_MILLIS, () -> {
                looking = false;
                serve();
                lookAgain();
            });
        }
    }

    /** Lets at most one begin or end: what a prompt takes of the engines' time shows only when it is sent. */
    private void serve() {
        int before = line.size();
        for (ReadingLine<ReadingTurn>.Place place : line.order(context.now())) {
            ReadingTurn turn = place.waiting();
            decide(turn, turn.due());
            if (line.size() < before) {
                return;
            }
        }
    }
}
