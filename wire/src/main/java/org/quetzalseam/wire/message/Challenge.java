package org.quetzalseam.wire.message;

/**
 * Answers a {@link Hello}: identifies the accepting process, proves that it holds the site's key, and carries
 * the challenge that the opener must answer.
 *
 * @param protocol version of the protocol
 * @param role role of the process
 * @param name the process's name
 * @param zone its availability zone
 * @param incarnation random number chosen when the process started
 * @param nonce random bytes that the opener's proof must cover
 * @param proof HMAC over both nonces
 */
public record Challenge(int protocol, Role role, String name, String zone, long incarnation, byte[] nonce, byte[] proof)
        implements Message {}
