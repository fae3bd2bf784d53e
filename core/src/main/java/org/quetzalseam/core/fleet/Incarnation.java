package org.quetzalseam.core.fleet;

/**
 * One life of an endpoint: it may start again under its id, and then knows nothing of before. Immutable.
 *
 * @param id the endpoint's id
 * @param startMillis when this life began, in Unix milliseconds of the endpoint's clock, or {@link #UNKNOWN_START}
 */
public record Incarnation(String id, long startMillis) {
    /** Start of an endpoint that doesn't say when it started; it counts as earlier than any that does. */
    public static final long UNKNOWN_START = 0;

    /** Returns whether the endpoint says when it started. */
    public boolean hasStart() {
        return startMillis != UNKNOWN_START;
    }

    /** Returns whether this life of the endpoint ended before the other began. */
    public boolean precedes(Incarnation other) {
        return id.equals(other.id) && startMillis < other.startMillis;
    }

    @Override
    public String toString() {
        return id + "@" + startMillis;
    }
}
