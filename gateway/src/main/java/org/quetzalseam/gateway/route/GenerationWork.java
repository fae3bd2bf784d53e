package org.quetzalseam.gateway.route;

import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.endpoint.EndpointCall;

/**
 * What is under way for a generation: at most one of a search for an endpoint, a wait for memory, a prefill and a call of its decode
 * engine.
 */
final class GenerationWork {
    private @Nullable EndpointSearch search;
    private @Nullable GenerationAdmission admission;
    private @Nullable PrefillRun prefill;
    private @Nullable EndpointCall decodeCall;

    void searching(EndpointSearch started) {
        search = started;
    }

    void admitting(GenerationAdmission started) {
        admission = started;
    }

    void admissionEnded() {
        admission = null;
    }

    void prefilling(PrefillRun started) {
        prefill = started;
    }

    void prefillEnded() {
        prefill = null;
    }

    void decoding(EndpointCall started) {
        decodeCall = started;
    }

    /** Returns the latest call of a decode engine, which may have ended. */
    @Nullable
    EndpointCall decodeCall() {
        return decodeCall;
    }

    /** Reads on from the decode engine, because the caller takes more. */
    void resumeReading() {
        EndpointCall running = decodeCall;
        if (running != null) {
            running.setAutoRead(true);
        }
    }

    /** Returns whether a decode engine has been sent the request and has not ended it. */
    boolean sentToEngine() {
        EndpointCall call = decodeCall;
        return call != null && call.active() && call.sent();
    }

    /** Records a failure of the engine whose memory is booked, if it has been sent the request and has not ended it. */
    void recordUnresponsive(@Nullable BookedMemory booked, long now) {
        EndpointCall call = decodeCall;
        if (call != null && call.active() && booked != null) {
            booked.engine().health().recordFailure(now);
        }
    }

    /** Cancels what is under way. */
    void cancel() {
        EndpointSearch currentSearch = search;
        if (currentSearch != null) {
            currentSearch.cancel();
            search = null;
        }
        GenerationAdmission currentAdmission = admission;
        if (currentAdmission != null) {
            currentAdmission.cancel();
            admission = null;
        }
        PrefillRun currentPrefill = prefill;
        if (currentPrefill != null) {
            currentPrefill.cancel();
            prefill = null;
        }
        EndpointCall call = decodeCall;
        if (call != null) {
            call.cancel();
        }
    }
}
