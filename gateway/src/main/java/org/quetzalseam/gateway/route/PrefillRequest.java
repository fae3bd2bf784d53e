package org.quetzalseam.gateway.route;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.generation.PrefillPlanner;
import org.quetzalseam.core.generation.PrefillQueue;
import org.quetzalseam.gateway.endpoint.Endpoint;

/** A generation's wait until its prompt can be read. Used on the event loop only. */
final class PrefillRequest {
    /** What becomes of the wait. */
    interface Listener {
        /** The prompt is worth beginning at the engine; there is none where the decode engine has to read it. */
        void beginPrefill(Optional<Endpoint> reader);

        /** The decode engine is to read it between the tokens of its streams, if it has room now. */
        void beginInPlace(Endpoint decoder);

        /** It won't be read in time to be of use. */
        void refused();
    }

    private final int promptTokens;
    private final FirstEventDeadline deadline;
    private final RunLog log;
    private final Listener listener;
    private PrefillQueue<PrefillRequest>.@Nullable Position queueEntry;
    private boolean triedInPlace;

    PrefillRequest(int promptTokens, FirstEventDeadline due, RunLog log, Listener outcome) {
        this.promptTokens = promptTokens;
        this.deadline = due;
        this.log = log;
        this.listener = outcome;
    }

    int promptTokens() {
        return promptTokens;
    }

    PrefillPlanner.Deadline remaining() {
        return deadline.remaining();
    }

    /** Returns the longest pause that its caller, and so others of its kind, are promised, in milliseconds. */
    double maxPauseMillis() {
        return deadline.maxPauseMillis();
    }

    /** Returns whether it has been sent to a decode engine once: one that had no room then is as full for others. */
    boolean triedInPlace() {
        return triedInPlace;
    }

    /** Returns its place among those who wait, or the last one it had. */
    PrefillQueue<PrefillRequest>.@Nullable Position queueEntry() {
        return queueEntry;
    }

    /** Notes its place among those who wait. */
    void queueEntry(PrefillQueue<PrefillRequest>.Position taken) {
        queueEntry = taken;
    }

    /** Notes why it has to wait. */
    void logQueued(Endpoint reader, PrefillPlanner.Verdict verdict, String inputs) {
        log.prefillQueued(reader, verdict, inputs);
    }

    void beginPrefill(Optional<Endpoint> reader) {
        listener.beginPrefill(reader);
    }

    void beginInPlace(Endpoint decoder) {
        triedInPlace = true;
        listener.beginInPlace(decoder);
    }

    void refuse(Endpoint reader, PrefillPlanner.Verdict verdict, String inputs) {
        log.prefillNotBegun(reader, verdict, inputs);
        listener.refused();
    }
}
