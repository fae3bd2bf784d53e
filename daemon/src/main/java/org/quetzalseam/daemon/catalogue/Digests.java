package org.quetzalseam.daemon.catalogue;

import java.util.regex.Pattern;
import org.apache.commons.codec.digest.DigestUtils;

/** Computes SHA-256 digests in hexadecimal. Stateless. */
public final class Digests {
    private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

    private Digests() {}

    /** Returns the digest of a text's UTF-8 form. */
    public static String of(String text) {
        return DigestUtils.sha256Hex(text);
    }

    /** Returns the digest of bytes. */
    public static String of(byte[] bytes) {
        return DigestUtils.sha256Hex(bytes);
    }

    /** Returns whether a text has the form of a digest. */
    static boolean isDigest(String text) {
        return DIGEST.matcher(text).matches();
    }
}
