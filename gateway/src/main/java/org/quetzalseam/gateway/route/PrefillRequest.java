package org.quetzalseam.gateway.route;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.generation.ReadingLine;
import org.quetzalseam.core.generation.ReadingPool;
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
    private ReadingLine<PrefillRequest>.@Nullable Place queueEntry;
    private boolean triedInPlace;

    PrefillRequest(int promptTokens, FirstEventDeadline deadline, RunLog log, Listener listener) {
        this.promptTokens = promptTokens;
        this.deadline = deadline;
        this.log = log;
        this.listener = listener;
    }

    int promptTokens() {
        return promptTokens;
    }

    ReadingPool.Due remaining() {
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
    ReadingLine<PrefillRequest>.@Nullable Place queueEntry() {
        return queueEntry;
    }

    /** Notes its place among those who wait. */
    void queueEntry(ReadingLine<PrefillRequest>.Place newEntry) {
        queueEntry = newEntry;
    }

    /** Notes why it has to wait. */
    void logQueued(Endpoint prefillEngine, ReadingPool.Verdict verdict, String inputs) {
        log.prefillQueued(prefillEngine, verdict, inputs);
    }

    void beginPrefill(Optional<Endpoint> prefillEngine) {
        listener.beginPrefill(prefillEngine);
    }

    void beginInPlace(Endpoint decodeEngine) {
        triedInPlace = true;
        listener.beginInPlace(decodeEngine);
    }

    void refuse(Endpoint prefillEngine, ReadingPool.Verdict verdict, String inputs) {
        log.prefillNotBegun(prefillEngine, verdict, inputs);
        listener.refused();
    }
}
