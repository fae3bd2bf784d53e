package org.quetzalseam.gateway.http;

/** Thrown when a fault keeps the entry from starting or working. */
public final class GatewayException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** What went wrong. */
    public enum Code {
        /** An address in the settings is in use or does not belong to this machine. */
        ADDRESS_UNUSABLE
    }

    private final Code code;

    /** Creates an exception. */
    public GatewayException(Code code, String message, Throwable cause) {
        super(code + ": " + message, cause);
        this.code = code;
    }

    /** Returns what went wrong. */
    public Code code() {
        return code;
    }
}
