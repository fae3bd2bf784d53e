package org.quetzalseam.daemon.platform;

import org.jspecify.annotations.Nullable;

/** Thrown when a call to the platform's store fails. */
public final class StoreException extends RuntimeException {
    /** Cause of the failure. */
    public enum Code {
        /** The object has changed or already exists: nothing was written. */
        CONFLICT,
        /** The store refused the call as malformed: nothing was written. */
        REFUSED,
        /** The store cannot be reached or did not respond: a write may or may not have taken effect. */
        UNAVAILABLE
    }

    private final Code code;

    /** Creates an exception. */
    public StoreException(Code code, String message, @Nullable Throwable cause) {
        super(code + ": " + message, cause);
        this.code = code;
    }

    /** Returns the cause of the failure. */
    public Code code() {
        return code;
    }
}
