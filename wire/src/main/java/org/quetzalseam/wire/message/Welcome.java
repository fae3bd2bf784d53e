package org.quetzalseam.wire.message;

/**
 * Ends a successful handshake.
 */
public record Welcome() implements Message {}
