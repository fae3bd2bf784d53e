package org.quetzalseam.gateway.http;

/**
 * Why a call got no complete reply. Immutable.
 *
 * @param kind what went wrong
 * @param detail a short text for the log
 */
public record CallFailure(Kind kind, String detail) {
    /** What went wrong with a call. */
    public enum Kind {
        /** No connection could be opened: nothing was sent. */
        NOT_CONNECTED,
        /** The connection was closed or reset before the reply was complete. */
        CONNECTION_LOST,
        /** The reply violates the protocol or cannot be forwarded. */
        MALFORMED,
        /** The reply is longer than the caller takes: the same call would get it again. */
        TOO_LONG,
        /** The reply did not arrive within the time limit. */
        TIMED_OUT,
        /** The call was cancelled by the code that made it. */
        CANCELLED
    }

    /** Returns whether the request cannot have reached the endpoint. */
    public boolean nothingSent() {
        return kind == Kind.NOT_CONNECTED;
    }
}
