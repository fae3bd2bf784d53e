package org.quetzalseam.daemon;

import org.jspecify.annotations.Nullable;

/** Thrown when a daemon cannot start or cannot carry out a request. */
public final class DaemonException extends RuntimeException {
    /** Cause of the failure. */
    public enum Code {
        /** The settings are invalid. */
        BAD_SETTINGS,
        /** The process cannot listen on an address. */
        CANNOT_LISTEN
    }

    private final Code code;

    /** Creates an exception. */
    public DaemonException(Code code, String message, @Nullable Throwable cause) {
        super(code + ": " + message, cause);
        this.code = code;
    }

    /** Returns the cause of the failure. */
    public Code code() {
        return code;
    }
}
