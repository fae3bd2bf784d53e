package org.quetzalseam.gateway.route;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.generation.PrefillPlanner;
import org.quetzalseam.core.generation.PrefillQueue;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.endpoint.Endpoint;

/** A generation's request for the prefill of its prompt, which may have to be queued. Used on the event loop only. */
final class PrefillRequest {
    /** Receives the decision on the request. */
    interface Listener {
        /** Called when the engine should begin the prompt; empty if the decode engine has to prefill it. */
        void beginPrefill(Optional<Endpoint> prefillEngine);

        /** Called when the decode engine is to prefill the prompt between the tokens of its streams, if it has room now. */
        void beginInPlace(Endpoint decodeEngine);

        /** Called when the prompt will not be prefilled in time to be of use. */
        void refused();
    }

    private final int promptTokens;
    private final FirstEventDeadline deadline;
    private final RunLog log;
    private final @Nullable StreamOrigin origin;
    private final Listener listener;
    private PrefillQueue<PrefillRequest>.@Nullable Position queuePosition;
    private boolean triedInPlace;

    PrefillRequest(
            int promptTokens,
            FirstEventDeadline deadline,
            RunLog log,
            @Nullable StreamOrigin origin,
            Listener listener) {
        this.promptTokens = promptTokens;
        this.deadline = deadline;
        this.log = log;
        this.origin = origin;
        this.listener = listener;
    }

    int promptTokens() {
        return promptTokens;
    }

    /** Returns whether the stream of the prompt may run at a decode engine. */
    boolean mayRunAt(Endpoint decodeEngine) {
        return origin == null || origin.allows(decodeEngine.member());
    }

    PrefillPlanner.Deadline remaining() {
        return deadline.remaining();
    }

    /**
     * Returns the objective for the longest pause between events, in milliseconds; it is the same for other generations of
     * the route.
     */
    double maxPauseMillis() {
        return deadline.maxPauseMillis();
    }

    /**
     * Returns whether a decode engine has been tried for the prefill; one that had no room then is as full for other
     * prompts.
     */
    boolean triedInPlace() {
        return triedInPlace;
    }

    /** Returns its current or last position in the queue; null if it was never queued. */
    PrefillQueue<PrefillRequest>.@Nullable Position queuePosition() {
        return queuePosition;
    }

    /** Sets its position in the queue. */
    void queuePosition(PrefillQueue<PrefillRequest>.Position newPosition) {
        queuePosition = newPosition;
    }

    /** Logs why it has to wait. */
    void logQueued(Endpoint prefillEngine, PrefillPlanner.Verdict verdict, String inputs) {
        log.prefillQueued(prefillEngine, verdict, inputs);
    }

    void beginPrefill(Optional<Endpoint> prefillEngine) {
        listener.beginPrefill(prefillEngine);
    }

    void beginInPlace(Endpoint decodeEngine) {
        triedInPlace = true;
        listener.beginInPlace(decodeEngine);
    }

    void refuse(Endpoint prefillEngine, PrefillPlanner.Verdict verdict, String inputs) {
        log.prefillNotBegun(prefillEngine, verdict, inputs);
        listener.refused();
    }
}
