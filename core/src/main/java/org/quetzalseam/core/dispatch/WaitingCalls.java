package org.quetzalseam.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** The requests that wait: those that can still be in time, and those that can only be late. Not thread-safe. */
final class WaitingCalls {
    private final Map<Ticket, WaitingCall> inTime = new LinkedHashMap<>();
    private final Map<Ticket, WaitingCall> late = new LinkedHashMap<>();
    private final CallOrder order;

    WaitingCalls(CallOrder order) {
        this.order = order;
    }

    int size() {
        return inTime.size() + late.size();
    }

    void addInTime(WaitingCall call) {
        inTime.put(call.request().ticket(), call);
    }

    void addLate(WaitingCall call) {
        late.put(call.request().ticket(), call);
    }

    void remove(Ticket ticket) {
        inTime.remove(ticket);
        late.remove(ticket);
    }

    void removeEntry(String entry) {
        inTime.keySet().removeIf(ticket -> ticket.entry().equals(entry));
        late.keySet().removeIf(ticket -> ticket.entry().equals(entry));
    }

    /** Removes and returns the requests that could be in time and can't any more. */
    List<WaitingCall> takeOverdue(long responseNanos, long now) {
        return take(inTime, call -> !call.inTime(responseNanos, now));
    }

    /** Removes and returns the requests whose answer would be of no use any more. */
    List<WaitingCall> takeUseless(long responseNanos, long now) {
        return take(late, call -> call.uselessAt() - now < responseNanos);
    }

    private static List<WaitingCall> take(Map<Ticket, WaitingCall> from, Predicate<WaitingCall> which) {
        List<WaitingCall> taken = new ArrayList<>();
        for (Iterator<WaitingCall> all = from.values().iterator(); all.hasNext(); ) {
            WaitingCall call = all.next();
            if (which.test(call)) {
                all.remove();
                taken.add(call);
            }
        }
        return taken;
    }

    /** Returns the requests which an endpoint may get and that can be in time there, if it answers as fast as expected. */
    Optional<WaitingCall> nextInTime(String endpoint, double answersPerSecond, long responseNanos, long now) {
        List<WaitingCall> first = new ArrayList<>();
        for (WaitingCall call : inTime.values()) {
            if (allowed(call, endpoint) && call.inTime(responseNanos, now)) {
                int priority = first.isEmpty() ? 0 : call.comparePriority(first.get(0));
                if (priority < 0) {
                    first.clear();
                }
                if (priority <= 0) {
                    first.add(call);
                }
            }
        }
        return first.isEmpty()
                ? Optional.empty()
                : Optional.of(order.next(first, answersPerSecond, responseNanos, now));
    }

    /** Returns the next request that can only be late. */
    Optional<WaitingCall> nextLate(String endpoint) {
        return late.values().stream().filter(call -> allowed(call, endpoint)).min(WaitingCall::compareLate);
    }

    /** Returns the request that can only be late whose caller has waited longest, whatever its priority. */
    Optional<WaitingCall> longestWaiting(String endpoint) {
        return late.values().stream()
                .filter(call -> allowed(call, endpoint))
                .min(Comparator.comparingLong(WaitingCall::since));
    }

    /** Returns any request that the endpoint may get. */
    Optional<WaitingCall> any(String endpoint) {
        @Nullable WaitingCall call = nextLate(endpoint).orElse(null);
        return call != null
                ? Optional.of(call)
                : inTime.values().stream()
                        .filter(other -> allowed(other, endpoint))
                        .findFirst();
    }

    private static boolean allowed(WaitingCall call, String endpoint) {
        return !call.request().excluded().contains(endpoint);
    }

    /** Returns the number of late requests that go before a request in the order of late requests. */
    long aheadByOrder(WaitingCall call) {
        return late.values().stream()
                .filter(other -> other.compareLate(call) < 0)
                .count();
    }

    /** Returns the number of late requests whose callers have waited longer. */
    long aheadByWait(WaitingCall call) {
        return late.values().stream()
                .filter(other -> other.since() < call.since())
                .count();
    }
}
