package org.quetzalseam.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.quetzalseam.core.fleet.Incarnation;

/** The places at one endpoint. Not thread-safe. Times are monotonic nanoseconds. */
final class EndpointPlaces {
    /** Mean response times after which a place ends that nobody has reported. */
    private static final int UNREPORTED_MEANS = 4;

    /** Slots that late requests leave idle, so that the next request that can be in time does not wait for one of them to end. */
    private static final int KEPT_IDLE = 1;

    private static final long LEAST_UNREPORTED_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final double NANOS_PER_SECOND = 1e9;

    private final Incarnation endpoint;
    private final LimitControl control;
    private final EndpointHealth health;
    private final Map<Ticket, Long> givenAt = new HashMap<>();

    EndpointPlaces(Incarnation endpoint, LimitControl control, long now) {
        this.endpoint = endpoint;
        this.control = control;
        this.health = new EndpointHealth(now);
    }

    Incarnation endpoint() {
        return endpoint;
    }

    int inUse() {
        return givenAt.size();
    }

    boolean hasRoom(long now) {
        return inUse() < health.allowed(control.limit(), now);
    }

    /** Returns whether a late request may have a place: it would run at once and leave a slot to a request that can be in time. */
    boolean hasIdleRoom() {
        return inUse() < Math.max(1, control.running() - KEPT_IDLE);
    }

    /** Returns whether it answers as usual, so that its response time tells what to expect. */
    boolean healthy() {
        return !health.limited();
    }

    /** Returns the mean response time; 0 if it is unknown. */
    long meanNanos() {
        return control.meanNanos();
    }

    /** Returns the answers a second that it can give; 0 if this is unknown or it is not healthy. */
    double answersPerSecond() {
        return healthy() && meanNanos() > 0 ? control.limit() * NANOS_PER_SECOND / meanNanos() : 0;
    }

    /** Returns the part of its places that is in use; those that are not healthy are filled last. */
    double fill() {
        return (healthy() ? 0 : 1) + inUse() / (double) control.limit();
    }

    void give(Ticket ticket, long now) {
        health.sent(inUse(), now);
        givenAt.put(ticket, now);
    }

    /** Ends a place, and returns false if the ticket has none here. */
    boolean end(Ticket ticket, PlaceOutcome outcome, long responseNanos, long objectiveNanos, long now) {
        int before = inUse();
        if (givenAt.remove(ticket) == null) {
            return false;
        }
        switch (outcome) {
            case ANSWERED -> {
                health.answered(now);
                control.answered(responseNanos, objectiveNanos, before >= control.limit(), now);
            }
            case REJECTED -> {
                health.answered(now);
                control.rejected(before, now);
            }
            case FAILED -> {
                if (health.failed(now)) {
                    control.failed();
                }
            }
            case NOT_SENT -> {}
        }
        return true;
    }

    /** Ends the places of an entry. */
    void entryLost(String entry) {
        givenAt.keySet().removeIf(ticket -> ticket.entry().equals(entry));
    }

    /** Checks whether answers have stopped, and ends places that have not been reported for too long. */
    List<Ticket> tick(long now) {
        if (health.check(inUse(), meanNanos(), now)) {
            control.failed();
        }
        long longest = Math.max(LEAST_UNREPORTED_NANOS, UNREPORTED_MEANS * meanNanos());
        List<Ticket> ended = new ArrayList<>();
        givenAt.forEach((ticket, at) -> {
            if (now - at > longest) {
                ended.add(ticket);
            }
        });
        ended.forEach(givenAt::remove);
        return ended;
    }
}
