package org.quetzalseam.core.fleet;

/**
 * Identifies one run of an endpoint, from its start to its end. An endpoint may restart under the same id; it then has
 * no state of its previous incarnation. Immutable.
 *
 * @param id the endpoint's id
 * @param startMillis start time, in Unix milliseconds of the endpoint's clock, or {@link #UNKNOWN_START}
 */
public record Incarnation(String id, long startMillis) {
    /** Start time of an endpoint that does not report one; it counts as earlier than any other. */
    public static final long UNKNOWN_START = 0;

    /** Returns whether the endpoint reports its start time. */
    public boolean hasStart() {
        return startMillis != UNKNOWN_START;
    }

    /** Returns whether this is an earlier incarnation of the same endpoint than the other. */
    public boolean precedes(Incarnation other) {
        return id.equals(other.id) && startMillis < other.startMillis;
    }

    @Override
    public String toString() {
        return id + "@" + startMillis;
    }
}
