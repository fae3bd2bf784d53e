package org.quetzalseam.core.dispatch;

import java.util.Comparator;
import java.util.List;

/**
 * Serves the earliest deadline first while all requests that wait can be in time, and the newest first when they can't. Under overload the
 * newest has the most time left, so that variance of work does not make its answer late.
 */
final class AdaptiveLifo implements CallOrder {
    /** Mean responses that must fit into the time left: work has a spread of half of its mean, so few answers take twice the mean. */
    private static final int RESPONSES = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    @Override
    public WaitingCall next(List<WaitingCall> calls, double answersPerSecond, long responseNanos, long now) {
        WaitingCall earliest = calls.stream()
                .min(Comparator.comparingLong(WaitingCall::lateAt))
                .orElseThrow();
        double drainNanos = answersPerSecond == 0 ? 0 : calls.size() * NANOS_PER_SECOND / answersPerSecond;
        return earliest.lateAt() - now >= drainNanos + RESPONSES * responseNanos
                ? earliest
                : calls.get(calls.size() - 1);
    }
}
