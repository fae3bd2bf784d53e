package org.quetzalseam.gateway.http;

/**
 * Why a call got no whole reply. Immutable.
 *
 * @param kind what went wrong
 * @param detail a short text for the log
 */
public record CallFailure(Kind kind, String detail) {
    /** What went wrong with a call. */
    public enum Kind {
        /** No connection could be opened: nothing was sent. */
        NOT_CONNECTED,
        /** The connection ended or was reset before the reply was whole. */
        CONNECTION_LOST,
        /** What came is no reply in the protocol, or not one that can be passed on. */
        MALFORMED,
        /** No reply in the time allowed. */
        TIMED_OUT,
        /** The caller of this call gave it up. */
        CANCELLED
    }

    /** Returns whether the request can't have reached the endpoint. */
    public boolean nothingSent() {
        return kind == Kind.NOT_CONNECTED;
    }
}
