package org.quetzalseam.gateway.limit;

import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.limits.PermitAnswer;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.runtime.ScheduledCall;
import org.quetzalseam.gateway.runtime.Timers;

/** One question whether requests may be sent, from the question to the decision. Used on the event loop only. */
public final class PermitRequest {
    /** Added to a wait so that a request is not sent before its time, as timers have milliseconds. */
    private static final long ROUNDING_NANOS = TimeUnit.MILLISECONDS.toNanos(1) - 1;

    private final Timers timers;
    private final Endpoint endpoint;
    private final EndpointLimits.Listener listener;
    private @Nullable ScheduledCall waiting;
    private boolean cancelled;

    PermitRequest(Timers timers, Endpoint endpoint, EndpointLimits.Listener listener) {
        this.timers = timers;
        this.endpoint = endpoint;
        this.listener = listener;
    }

    void answered(PermitAnswer answer) {
        long now = timers.now();
        long waitNanos = answer.permit().waitNanos();
        endpoint.limits().recordHeard(answer.known(), now);
        if (answer.permit().isGranted()) {
            endpoint.limits().backoff().recordGranted(waitNanos, now);
        } else {
            endpoint.limits().backoff().recordRefused(waitNanos, now);
        }
        if (cancelled) {
            return;
        }
        long waitMillis = TimeUnit.NANOSECONDS.toMillis(waitNanos + ROUNDING_NANOS);
        if (!answer.permit().isGranted()) {
            listener.refused(waitMillis);
        } else if (waitMillis == 0) {
            listener.granted();
        } else {
            waiting = timers.after(waitMillis, listener::granted);
        }
    }

    /** Drops the request; its listener is not called any more. A permit that was granted already is lost. */
    public void cancel() {
        cancelled = true;
        ScheduledCall timer = waiting;
        if (timer != null) {
            timer.cancel();
        }
    }
}
