package org.quetzalseam.wire.message;

/**
 * Ends a failed handshake; the connection is closed after it.
 *
 * @param code name of the error code
 * @param reason description of the error
 */
public record Rejected(String code, String reason) implements Message {}
