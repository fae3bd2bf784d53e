package org.quetzalseam.wire.message;

/**
 * The opener's proof that it holds the site's key.
 *
 * @param proof HMAC over both nonces
 */
public record Proof(byte[] proof) implements Message {}
