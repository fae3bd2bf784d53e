package org.quetzalseam.core.dispatch;

/** How the use of a place ended. */
public enum PlaceOutcome {
    /** The endpoint has answered, if only with a failure of its own. */
    ANSWERED,
    /** The endpoint has not answered completely. */
    FAILED,
    /** The endpoint has refused the request because it has no room. */
    REJECTED,
    /** The request was not sent. */
    NOT_SENT
}
