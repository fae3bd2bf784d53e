package org.quetzalseam.wire.message;

/**
 * An endpoint's load. Immutable.
 *
 * @param free number of free slots
 * @param queued number of queued attempts
 * @param backlogMillis estimated milliseconds until long work that arrives now would start
 * @param shortBacklogMillis estimated milliseconds until short work that arrives now would start
 * @param nanosPerCost measured time that one unit of cost (a token, or a call) adds to the backlog, in nanoseconds
 * @param leaving whether the endpoint is shutting down and accepts no new work
 */
public record Load(
        int free, int queued, long backlogMillis, long shortBacklogMillis, long nanosPerCost, boolean leaving) {
    /** Returns the load of an endpoint that has reported none. */
    public static Load unknown() {
        return new Load(0, 0, 0, 0, 0, false);
    }
}
