package org.quetzalseam.gateway.route;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.generation.ReadingLine;
import org.quetzalseam.core.generation.ReadingPool;
import org.quetzalseam.gateway.endpoint.Endpoint;

/** A generation's wait until its prompt can be read. Used on the event loop only. */
final class ReadingTurn {
    /** What becomes of the wait. */
    interface Outcome {
        /** The prompt is worth beginning at the engine; there is none where the decode engine has to read it. */
        void begin(Optional<Endpoint> reader);

        /** The decode engine is to read it between the tokens of its streams, if it has room now. */
        void beginAt(Endpoint decoder);

        /** It won't be read in time to be of use. */
        void refused();
    }

    private final int promptTokens;
    private final CallerDue due;
    private final RunLog log;
    private final Outcome outcome;
    private ReadingLine<ReadingTurn>.@Nullable Place place;
    private boolean triedInPlace;

    ReadingTurn(int promptTokens, CallerDue due, RunLog log, Outcome outcome) {
        this.promptTokens = promptTokens;
        this.due = due;
        this.log = log;
        this.outcome = outcome;
    }

    int promptTokens() {
        return promptTokens;
    }

    ReadingPool.Due due() {
        return due.now();
    }

    /** Returns the longest pause that its caller, and so others of its kind, are promised, in milliseconds. */
    double pauseMillis() {
        return due.pauseMillis();
    }

    /** Returns whether it has been sent to a decode engine once: one that had no room then is as full for others. */
    boolean triedInPlace() {
        return triedInPlace;
    }

    /** Returns its place among those who wait, or the last one it had. */
    ReadingLine<ReadingTurn>.@Nullable Place place() {
        return place;
    }

    /** Notes its place among those who wait. */
    void place(ReadingLine<ReadingTurn>.Place taken) {
        place = taken;
    }

    /** Notes why it has to wait. */
    void waits(Endpoint reader, ReadingPool.Verdict verdict, String inputs) {
        log.promptWaits(reader, verdict, inputs);
    }

    void begin(Optional<Endpoint> reader) {
        outcome.begin(reader);
    }

    void beginAt(Endpoint decoder) {
        triedInPlace = true;
        outcome.beginAt(decoder);
    }

    void refuse(Endpoint reader, ReadingPool.Verdict verdict, String inputs) {
        log.promptNotBegun(reader, verdict, inputs);
        outcome.refused();
    }
}
