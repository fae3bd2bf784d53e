package org.quetzalseam.daemon.endpoint;

/** Runs the jobs that admission has given a place. Implementations are thread-safe and don't block. */
interface JobRunner {
    /** Runs a job that holds a place. When it has ended, {@link Admission#finish} must be called. */
    void run(Job job);

    /** Drops a started job. When its memory is free, {@link Admission#finish} must be called. */
    void abort(Job job);
}
