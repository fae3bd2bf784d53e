package org.quetzalseam.gateway.runtime;

/** A scheduled call that can be cancelled. Cancelling it twice, or after it has run, has no effect. */
@FunctionalInterface
public interface ScheduledCall {
    /** Cancels all further calls. */
    void cancel();
}
