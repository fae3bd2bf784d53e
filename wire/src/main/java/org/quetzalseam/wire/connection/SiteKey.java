package org.quetzalseam.wire.connection;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.quetzalseam.wire.WireException;
import org.quetzalseam.wire.WireException.Code;

/**
 * The secret that all processes of a site share and authenticate each other with. Immutable and thread-safe.
 *
 * <p>A process that has no configured key uses {@link #loopback()}, which is not a secret; such a process must listen on
 * loopback addresses only.
 */
public final class SiteKey {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int MIN_BYTES = 16;

    private final SecretKeySpec key;
    private final boolean secret;

    private SiteKey(byte[] bytes, boolean secret) {
        this.key = new SecretKeySpec(bytes, ALGORITHM);
        this.secret = secret;
    }

    /** Reads the key from a file, without surrounding white space. */
    public static SiteKey read(Path file) {
        try {
            return of(Files.readString(file, StandardCharsets.UTF_8).strip());
        } catch (IOException e) {
            throw new WireException(Code.NOT_AUTHENTIC, "site key " + file + " cannot be read: " + e.getMessage(), e);
        }
    }

    /** Returns the key for a text of at least 16 bytes in UTF-8. */
    public static SiteKey of(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length < MIN_BYTES) {
            throw new WireException(
                    Code.NOT_AUTHENTIC, "site key: expected at least " + MIN_BYTES + " bytes, got " + bytes.length);
        }
        return new SiteKey(bytes, true);
    }

    /** Returns the well-known key for processes that communicate over loopback only. */
    public static SiteKey loopback() {
        return new SiteKey("loopback processes need no key".getBytes(StandardCharsets.UTF_8), false);
    }

    /** Returns whether the key is secret, so that a process may listen on addresses other than loopback. */
    public boolean isSecret() {
        return secret;
    }

    /** Returns the proof of one side: an HMAC over the name of the side, its incarnation and both nonces. */
    byte[] proof(String side, long incarnation, byte[] openerNonce, byte[] answererNonce) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update(side.getBytes(StandardCharsets.US_ASCII));
            mac.update(ByteBuffer.allocate(Long.BYTES).putLong(incarnation).array());
            mac.update(openerNonce);
            return mac.doFinal(answererNonce);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(ALGORITHM + " is not available", e);
        }
    }

    static boolean matches(byte[] expected, byte[] actual) {
        return MessageDigest.isEqual(expected, actual);
    }
}
