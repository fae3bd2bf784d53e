package org.quetzalseam.daemon.entry;

/** Receives a completion's answer and sends it to the caller's connection. Called by one thread. */
public interface AnswerSink {
    /**
     * Reports that the request is admitted, so that the answer may begin. Returns false when the caller has
     * disconnected.
     */
    boolean admitted();

    /** Checks whether the caller is still connected. Returns false when it has disconnected. */
    boolean probe();

    /** Sends the next output. Returns false when the caller has disconnected. */
    boolean output(String text);
}
