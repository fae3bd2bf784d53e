package org.quetzalseam.gateway.http;

/** A fault that keeps an entry from working at all. */
public final class GatewayException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** What went wrong. */
    public enum Code {
        /** An address of the settings is in use, or not one of this machine's. */
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
