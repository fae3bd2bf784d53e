package org.quetzalseam.wire.connection;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.security.SecureRandom;
import org.quetzalseam.wire.FrameCodec;
import org.quetzalseam.wire.MessageCodec;
import org.quetzalseam.wire.WireException;
import org.quetzalseam.wire.WireException.Code;
import org.quetzalseam.wire.message.Challenge;
import org.quetzalseam.wire.message.Hello;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.message.Proof;
import org.quetzalseam.wire.message.Rejected;
import org.quetzalseam.wire.message.Welcome;

/**
 * The handshake of a connection, in which each side identifies itself and proves that it holds the site's key. Both
 * proofs cover a nonce of the other side, so a recorded handshake cannot be replayed. Stateless.
 */
final class Handshake {
    /** Version of the protocol between processes. */
    static final int PROTOCOL_VERSION = 1;

    private static final int NONCE_BYTES = 16;
    private static final int MAX_HANDSHAKE_FRAME_BYTES = 1024;
    private static final String OPENER = "opener";
    private static final String ANSWERER = "answerer";
    private static final SecureRandom RANDOM = new SecureRandom();

    /**
     * The other end of a connection.
     *
     * @param identity identity of the peer
     * @param connection number of the connection, increasing within the opener's incarnation
     */
    record Peer(Identity identity, long connection) {}

    private Handshake() {}

    private static byte[] nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    static Peer open(DataInputStream in, OutputStream out, Identity self, SiteKey key, long connection)
            throws IOException {
        byte[] nonce = nonce();
        send(
                out,
                new Hello(
                        PROTOCOL_VERSION,
                        self.role(),
                        self.name(),
                        self.zone(),
                        self.incarnation(),
                        connection,
                        nonce));
        Challenge challenge = receive(in, Challenge.class);
        byte[] expected = key.proof(ANSWERER, challenge.incarnation(), nonce, challenge.nonce());
        if (!SiteKey.matches(expected, challenge.proof())) {
            throw new WireException(
                    Code.NOT_AUTHENTIC, "peer " + challenge.name() + " does not hold the key of this site");
        }
        send(out, new Proof(key.proof(OPENER, self.incarnation(), nonce, challenge.nonce())));
        receive(in, Welcome.class);
        Identity peer = new Identity(challenge.role(), challenge.name(), challenge.zone(), challenge.incarnation());
        return new Peer(peer, connection);
    }

    static Peer answer(DataInputStream in, OutputStream out, Identity self, SiteKey key) throws IOException {
        try {
            Hello hello = receive(in, Hello.class);
            checkVersion(hello.protocol());
            byte[] nonce = nonce();
            byte[] proof = key.proof(ANSWERER, self.incarnation(), hello.nonce(), nonce);
            send(
                    out,
                    new Challenge(
                            PROTOCOL_VERSION, self.role(), self.name(), self.zone(), self.incarnation(), nonce, proof));
            byte[] expected = key.proof(OPENER, hello.incarnation(), hello.nonce(), nonce);
            if (!SiteKey.matches(expected, receive(in, Proof.class).proof())) {
                throw new WireException(Code.NOT_AUTHENTIC, "the opener holds another site key");
            }
            send(out, new Welcome());
            Identity peer = new Identity(hello.role(), hello.name(), hello.zone(), hello.incarnation());
            return new Peer(peer, hello.connection());
        } catch (WireException e) {
            if (e.code() != Code.DISCONNECTED) {
                send(out, new Rejected(e.code().name(), String.valueOf(e.getMessage())));
            }
            throw e;
        }
    }

    private static void checkVersion(int protocol) {
        if (protocol != PROTOCOL_VERSION) {
            throw new WireException(
                    Code.WRONG_VERSION, "protocol: this process speaks " + PROTOCOL_VERSION + ", the peer " + protocol);
        }
    }

    private static void send(OutputStream out, Message message) throws IOException {
        FrameCodec.write(out, MessageCodec.encode(message));
        out.flush();
    }

    private static <T extends Message> T receive(DataInputStream in, Class<T> type) throws IOException {
        byte[] frame = FrameCodec.read(in, MAX_HANDSHAKE_FRAME_BYTES);
        if (frame == null) {
            throw new WireException(Code.DISCONNECTED, "the peer closed the connection during the handshake");
        }
        Message message = MessageCodec.decode(frame);
        if (message instanceof Rejected rejected) {
            throw new WireException(codeOf(rejected.code()), "rejected by the peer: " + rejected.reason());
        }
        if (!type.isInstance(message)) {
            throw new WireException(
                    Code.BAD_MESSAGE,
                    "expected " + type.getSimpleName() + ", got "
                            + message.getClass().getSimpleName());
        }
        return type.cast(message);
    }

    private static Code codeOf(String name) {
        for (Code code : Code.values()) {
            if (code.name().equals(name)) {
                return code;
            }
        }
        return Code.BAD_MESSAGE;
    }
}
