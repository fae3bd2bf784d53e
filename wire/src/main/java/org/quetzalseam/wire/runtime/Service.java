package org.quetzalseam.wire.runtime;

/** A component of a process that is started once and stopped once. Stopping one that was not started does nothing. */
public interface Service {
    /** Starts the service and returns when it is ready. */
    void start();

    /** Stops the service and returns when its resources have been released. */
    void stop();
}
