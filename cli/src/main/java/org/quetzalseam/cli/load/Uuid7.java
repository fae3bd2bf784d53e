package org.quetzalseam.cli.load;

import java.util.UUID;

/** Generates version 7 UUIDs (RFC 9562) that are equal for equal text and millisecond. Stateless. */
public final class Uuid7 {
    private static final long VERSION = 0x7000L;
    private static final long VARIANT = 0x8000_0000_0000_0000L;

    private Uuid7() {}

    /** Returns a UUID with the current time. */
    public static String next(String text) {
        return at(System.currentTimeMillis(), text);
    }

    /** Returns a UUID with the given time, in milliseconds since the epoch. */
    public static String at(long millis, String text) {
        UUID name = UUID.nameUUIDFromBytes(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        long high = millis << 16 | VERSION | (name.getMostSignificantBits() & 0xfff);
        long low = VARIANT | name.getLeastSignificantBits() >>> 2;
        return new UUID(high, low).toString();
    }
}
