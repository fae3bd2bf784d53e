package org.quetzalseam.wire.message;

/**
 * The first message of the process that opens a connection.
 *
 * @param protocol version of the protocol
 * @param role role of the process
 * @param name the process's name, from its settings
 * @param zone its availability zone
 * @param incarnation random number chosen when the process started
 * @param connection number of this connection to this peer, increasing within the incarnation
 * @param nonce random bytes that the peer's proof must cover
 */
public record Hello(int protocol, Role role, String name, String zone, long incarnation, long connection, byte[] nonce)
        implements Message {}
