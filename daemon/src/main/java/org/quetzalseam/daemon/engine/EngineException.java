package org.quetzalseam.daemon.engine;

import org.jspecify.annotations.Nullable;

/** Thrown when a request to an engine fails. */
public final class EngineException extends RuntimeException {
    /** Kinds of failure. */
    public enum Code {
        /** The engine did not accept the request: nothing was run. */
        NOT_RUN,
        /** The KV cache was removed before it was fetched. */
        TRANSFER_LOST,
        /** The engine aborted its response, or the response was invalid. */
        FAILED,
        /** The request was cancelled. */
        CANCELLED
    }

    private final Code code;

    /** Creates an exception. */
    public EngineException(Code code, String message, @Nullable Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /** Returns the kind of failure. */
    public Code code() {
        return code;
    }
}
