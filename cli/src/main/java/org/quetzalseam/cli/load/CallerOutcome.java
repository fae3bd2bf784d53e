package org.quetzalseam.cli.load;

/** What a caller was told of its request, or saw of the answer. */
public enum CallerOutcome {
    /** The whole answer to its own request. */
    ANSWERED,
    /** The request was not run. */
    NOT_RUN,
    /** The request ran, and the answer is not whole. */
    INCOMPLETE,
    /** Nothing is known. */
    UNKNOWN,
    /** The connection broke before the end, and the caller was told nothing. */
    CUT_OFF,
    /** The caller hung up on purpose. */
    HUNG_UP,
    /** The answer claims to be whole but isn't this request's, or misses, repeats or mixes up outputs. */
    WRONG
}
