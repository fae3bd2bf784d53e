package org.quetzalseam.gateway.runtime;

/** A timed call to come, which can be cancelled; cancelling twice, or too late, is harmless. */
@FunctionalInterface
public interface ScheduledCall {
    /** Makes no further calls. */
    void cancel();
}
