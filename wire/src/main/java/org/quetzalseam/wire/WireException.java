package org.quetzalseam.wire;

import org.jspecify.annotations.Nullable;

/** Thrown on an error in the protocol between processes. The connection concerned is closed. */
public final class WireException extends RuntimeException {
    /** The kinds of errors. */
    public enum Code {
        /** A frame is longer than allowed, empty or truncated. */
        BAD_FRAME,
        /** The content of a frame is not a known message or not the expected one. */
        BAD_MESSAGE,
        /** The peer speaks another version of the protocol. */
        WRONG_VERSION,
        /** The peer could not prove that it holds the site's key. */
        NOT_AUTHENTIC,
        /** The connection was lost or could not be made. */
        DISCONNECTED
    }

    private final Code code;

    /** Creates an exception without a cause. */
    public WireException(Code code, String message) {
        this(code, message, null);
    }

    /** Creates an exception. */
    public WireException(Code code, String message, @Nullable Throwable cause) {
        super(code + ": " + message, cause);
        this.code = code;
    }

    /** Returns the kind of error. */
    public Code code() {
        return code;
    }
}
