package org.quetzalseam.daemon;

import java.security.MessageDigest;
import java.util.HexFormat;
import org.apache.commons.codec.digest.DigestUtils;
import org.quetzalseam.wire.message.Work;

/**
 * Computes a digest that is the same for each repetition of a request, whatever its id: over owner, catalogue entry, method,
 * path and body. Stateless.
 */
public final class RequestFingerprint {
    /** Length of a fingerprint in bytes; two of a million requests share one with a probability below 10^-26. */
    private static final int BYTES = 16;

    private RequestFingerprint() {}

    /** Returns the fingerprint of a call of a plain service. */
    public static String of(String owner, String entry, String method, String path, byte[] body) {
        MessageDigest digest = DigestUtils.getSha256Digest();
        // The line breaks separate the fields, none of which contains one.
        DigestUtils.updateDigest(digest, owner + '\n' + entry + '\n' + method + '\n' + path + '\n');
        return HexFormat.of().formatHex(digest.digest(body), 0, BYTES);
    }

    /** Returns the fingerprint of a completion. */
    public static String of(Work work, byte[] body) {
        return of(work.owner(), work.entry(), "", "", body);
    }
}
