package org.quetzalseam.daemon.service;

import org.jspecify.annotations.Nullable;

/** Thrown when a call to a plain service gets no answer. */
public final class ServiceException extends RuntimeException {
    /** Whether the call may have run. */
    public enum Code {
        /** The service was not reached: the call was not run. */
        NOT_RUN,
        /** There was no complete answer, and the service may have run the call. */
        NO_ANSWER,
        /** The service did not answer in time and may have run the call. */
        TIMEOUT
    }

    private final Code code;

    /** Creates an exception. */
    public ServiceException(Code code, String message, @Nullable Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /** Returns whether the call may have run. */
    public Code code() {
        return code;
    }
}
