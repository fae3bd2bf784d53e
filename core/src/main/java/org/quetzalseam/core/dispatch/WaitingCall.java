package org.quetzalseam.core.dispatch;

/**
 * A request that waits. Immutable.
 *
 * @param submittedAt when it was added, in monotonic nanoseconds
 */
record WaitingCall(PlaceRequest request, long submittedAt) {
    /** Returns the time from which its answer is late. */
    long lateAt() {
        return submittedAt + request.inTimeNanos();
    }

    /** Returns the time from which its answer is of no use. */
    long uselessAt() {
        return submittedAt + request.usefulNanos();
    }

    /** Returns when its caller made the first attempt. */
    long since() {
        return submittedAt - request.waitedNanos();
    }

    boolean returned() {
        return request.waitedNanos() > 0;
    }

    boolean inTime(long responseNanos, long now) {
        return lateAt() - now >= responseNanos;
    }

    /** Compares priorities; the smaller is the more urgent. */
    int comparePriority(WaitingCall other) {
        int byTeam = Integer.compare(request.teamPriority(), other.request.teamPriority());
        return byTeam != 0 ? byTeam : Integer.compare(request.routePriority(), other.request.routePriority());
    }

    /** Compares requests that can only be late: priority, then callers that have returned, then the longest wait. */
    int compareLate(WaitingCall other) {
        int byPriority = comparePriority(other);
        if (byPriority != 0) {
            return byPriority;
        }
        int byReturn = Boolean.compare(other.returned(), returned());
        return byReturn != 0 ? byReturn : Long.compare(since(), other.since());
    }
}
