package org.quetzalseam.cli.load;

/** Outcome of a request as its caller learned it from the response or from the connection. */
public enum CallerOutcome {
    /** The caller received the complete answer to its own request. */
    ANSWERED,
    /** The response states that the request was not run. */
    NOT_RUN,
    /** The response states that the request ran but the answer is incomplete. */
    INCOMPLETE,
    /** The response leaves open whether the request ran. */
    UNKNOWN,
    /** The connection broke before the end of the answer, without a statement of the outcome. */
    CUT_OFF,
    /** The caller disconnected on purpose. */
    HUNG_UP,
    /** The answer claims to be complete but belongs to another request, or misses, repeats or reorders outputs. */
    WRONG
}
