package org.quetzalseam.gateway.endpoint;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.quetzalseam.gateway.runtime.Timers;

/**
 * Decides whether an endpoint that lost a connection has crashed, or has only closed the connection. Used on the event loop
 * only.
 */
final class CrashCheck {
    /**
     * How long after a lost connection a restart of the endpoint is taken for the cause, in milliseconds: about the time that the
     * platform takes to list it.
     */
    private static final long RESTART_NOTICE_MILLIS = 5_000;

    private final Timers timers;
    private final BooleanSupplier draining;
    private final Runnable tryToConnect;
    private final Runnable onUnplannedEnd;
    private final List<Runnable> callsIfCrashed = new ArrayList<>();
    private boolean unreachable;
    private boolean ended;
    private boolean connecting;

    /**
     * Creates a check of an endpoint that is up.
     *
     * @param draining returns whether the endpoint ends as planned
     * @param tryToConnect opens a connection, whose outcome is told to this check
     * @param onUnplannedEnd called each time that the endpoint turns out to have ended unplanned
     */
    CrashCheck(Timers timers, BooleanSupplier draining, Runnable tryToConnect, Runnable onUnplannedEnd) {
        this.timers = timers;
        this.draining = draining;
        this.tryToConnect = tryToConnect;
        this.onUnplannedEnd = onUnplannedEnd;
    }

    /** Runs a call now or later if the endpoint, which has just lost a connection, turns out to have crashed. */
    void ifCrashed(Runnable call) {
        if (draining.getAsBoolean()) {
            return;
        }
        if (ended) {
            call.run();
            return;
        }
        callsIfCrashed.add(call);
        timers.after(RESTART_NOTICE_MILLIS, () -> callsIfCrashed.remove(call));
        if (!connecting) {
            connecting = true;
            tryToConnect.run();
        }
    }

    /** Records that a connection could be opened. The endpoint may still turn out to have restarted meanwhile. */
    void connected() {
        connecting = false;
        unreachable = false;
    }

    /** Records that no connection could be opened. */
    void connectFailed() {
        connecting = false;
        boolean news = !unreachable || !callsIfCrashed.isEmpty();
        unreachable = true;
        if (news) {
            unplannedEnd();
        }
    }

    /** Records that the endpoint has restarted. */
    void restarted() {
        ended = true;
        unplannedEnd();
    }

    private void unplannedEnd() {
        List<Runnable> calls = List.copyOf(callsIfCrashed);
        callsIfCrashed.clear();
        if (!draining.getAsBoolean()) {
            calls.forEach(Runnable::run);
            onUnplannedEnd.run();
        }
    }
}
