package org.quetzalseam.daemon.catalogue;

import org.apache.commons.codec.digest.DigestUtils;

/** Computes SHA-256 digests in hexadecimal. Stateless. */
public final class Digests {
    private Digests() {}

    /** Returns the digest of a text's UTF-8 form. */
    public static String of(String text) {
        return DigestUtils.sha256Hex(text);
    }

    /** Returns the digest of bytes. */
    public static String of(byte[] bytes) {
        return DigestUtils.sha256Hex(bytes);
    }
}
