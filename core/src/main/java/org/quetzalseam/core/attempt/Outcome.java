package org.quetzalseam.core.attempt;

/** Known outcome of an ended attempt or request. */
public enum Outcome {
    /** The complete answer was delivered. */
    ANSWERED("answered"),
    /** Proven: no endpoint has run it or will run it. */
    NOT_RUN("not-run"),
    /** It ran, and none or only part of the answer was delivered. */
    INCOMPLETE("incomplete"),
    /** Nothing is proven: it may have run. */
    UNKNOWN("unknown");

    private final String label;

    Outcome(String label) {
        this.label = label;
    }

    /** Returns the name used in error bodies sent to callers, in logs and in metrics. */
    public String label() {
        return label;
    }
}
