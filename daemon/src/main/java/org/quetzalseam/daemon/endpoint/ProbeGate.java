package org.quetzalseam.daemon.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.quetzalseam.core.crash.ProbeAllowance;

/**
 * Limits the probes of requests that have crashed back ends. All entries send the probes of a request to the same endpoint, so
 * that its limit holds for the site. Thread-safe. Times are monotonic nanoseconds.
 */
final class ProbeGate {
    /** Maximum number of requests that are remembered; the one that was probed or asked for longest ago is forgotten first. */
    static final int MAX_REQUESTS = 256;

    private final Map<String, Probes> byRequest = new LinkedHashMap<>(MAX_REQUESTS, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Probes> eldest) {
            return size() > MAX_REQUESTS;
        }
    };

    private static final class Probes {
        private final ProbeAllowance allowance;
        private final Deque<Long> sentAt = new ArrayDeque<>();
        private boolean cleared;

        Probes(long now) {
            allowance = new ProbeAllowance(now);
        }

        int count(long now) {
            while (!sentAt.isEmpty() && now - sentAt.getFirst() > ProbeAllowance.PROBE_KEEP_NANOS) {
                sentAt.removeFirst();
            }
            return sentAt.size();
        }
    }

    /** Returns empty if a request may be probed now, else after how many nanoseconds it may be sent again. */
    synchronized OptionalLong check(String request, long now) {
        Probes probes = byRequest.computeIfAbsent(request, added -> new Probes(now));
        boolean allowed = probes.cleared
                || (probes.allowance.waitNanos(now) <= 0 && !probes.allowance.isUsedUp(probes.count(now), now));
        return allowed ? OptionalLong.empty() : OptionalLong.of(probes.allowance.waitNanos(now));
    }

    /** Does what {@link #check} does, and counts a probe if it is allowed. */
    synchronized OptionalLong take(String request, long now) {
        OptionalLong waitNanos = check(request, now);
        Probes probes = byRequest.get(request);
        if (waitNanos.isEmpty() && probes != null && !probes.cleared) {
            probes.sentAt.addLast(now);
            probes.allowance.postpone(ProbeAllowance.INTERVAL_NANOS, now);
        }
        return waitNanos;
    }

    /** Gives a probe back that has not run, because the back end could not be reached. */
    synchronized void giveBack(String request, long now) {
        Probes probes = byRequest.get(request);
        if (probes != null && !probes.sentAt.isEmpty()) {
            probes.sentAt.removeLast();
            probes.allowance.postpone(0, now);
        }
    }

    /** Records that a request ended here, so that it may run again, until it is lost in a crash. */
    synchronized void recordEnded(Supplier<String> request) {
        Probes probes = byRequest.isEmpty() ? null : byRequest.get(request.get());
        if (probes != null) {
            probes.cleared = true;
        }
    }

    /** Records that a request was lost in a crash. */
    synchronized void recordLost(String request) {
        Probes probes = byRequest.get(request);
        if (probes != null) {
            probes.cleared = false;
        }
    }
}
