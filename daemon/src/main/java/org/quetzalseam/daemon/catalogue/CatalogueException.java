package org.quetzalseam.daemon.catalogue;

import org.jspecify.annotations.Nullable;

/** Thrown when a catalogue cannot be read or changed. */
public final class CatalogueException extends RuntimeException {
    /** Cause of the failure. */
    public enum Code {
        /** Another change was accepted first, or is being reviewed. */
        CONFLICT,
        /** An object in the store is not valid, or a text that a manifest names is missing from the store. */
        BROKEN,
        /** The store cannot be reached: it is unknown whether the change took effect. */
        UNAVAILABLE
    }

    private final Code code;

    /** Creates an exception. */
    public CatalogueException(Code code, String message, @Nullable Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /** Returns the cause of the failure. */
    public Code code() {
        return code;
    }
}
