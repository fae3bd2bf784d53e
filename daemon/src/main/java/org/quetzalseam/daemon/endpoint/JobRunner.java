package org.quetzalseam.daemon.endpoint;

/** Runs admitted jobs. Implementations are thread-safe and do not block. */
interface JobRunner {
    /** Runs a job that holds a slot. When it has ended, {@link Admission#finish} must be called. */
    void run(Job job);

    /** Aborts a started job. When its memory is free, {@link Admission#finish} must be called. */
    void abort(Job job);
}
