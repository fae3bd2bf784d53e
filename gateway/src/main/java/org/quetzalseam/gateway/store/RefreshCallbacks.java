package org.quetzalseam.gateway.store;

import java.util.ArrayList;
import java.util.List;
import org.quetzalseam.gateway.runtime.ThrownErrors;

/** Those who requested a refresh and wait for the next answer or failure. Not thread-safe. */
final class RefreshCallbacks {
    private final List<Runnable> waiting = new ArrayList<>();

    void add(Runnable answered) {
        waiting.add(answered);
    }

    /** Calls back all of them, whatever one of them throws. */
    void complete() {
        List<Runnable> callbacks = List.copyOf(waiting);
        waiting.clear();
        for (Runnable callback : callbacks) {
            try {
                callback.run();
            } catch (Throwable e) {
                ThrownErrors.record("refresh", e);
            }
        }
    }
}
