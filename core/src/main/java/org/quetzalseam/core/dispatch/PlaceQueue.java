package org.quetzalseam.core.dispatch;

import java.util.Collection;
import org.quetzalseam.core.fleet.Incarnation;

/**
 * Gives the places at a group of endpoints to the requests of all entries, in the order that serves callers best. Implementations are
 * not thread-safe, open no connections and read no clock: times are monotonic nanoseconds that are passed in, and never go back.
 *
 * <p>A request is decided once: it is granted a place or refused, at once or while it waits. A place that was granted stays taken until
 * {@link #ended} is called for it.
 */
public interface PlaceQueue {
    /** Receives the decisions, possibly before the call that caused them returns. */
    interface Listener {
        /** Called when a request gets a place. */
        void granted(Ticket ticket, Incarnation endpoint);

        /**
         * Called when a request is refused.
         *
         * @param retryAfterNanos time after which a caller that returns is expected to be served
         * @param inputs what decided, as {@code key=value} pairs for the log
         */
        void refused(Ticket ticket, long retryAfterNanos, String inputs);
    }

    /** Replaces the endpoints. Places at endpoints that are not listed any more end. */
    void endpoints(Collection<PlaceCapacity> usable, long now);

    /** Adds a request. */
    void submit(PlaceRequest request, long now);

    /** Removes a request that waits, whose caller has gone. Does nothing if it does not wait. */
    void cancel(Ticket ticket, long now);

    /**
     * Records that a place is not used any more. Does nothing if the ticket has none.
     *
     * @param responseNanos time from sending the request to the end of the answer; 0 unless the endpoint has answered
     */
    void ended(Ticket ticket, PlaceOutcome outcome, long responseNanos, long now);

    /** Removes all requests of an entry that is gone, and ends its places. */
    void entryLost(String entry, long now);

    /** Decides on requests whose time has come, and ends places that have not been reported for too long. Called every few milliseconds. */
    void tick(long now);

    /** Returns the number of requests that wait. */
    int waiting();

    /** Returns the number of places in use. */
    int inUse();
}
