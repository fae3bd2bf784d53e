package org.quetzalseam.core.keyed;

import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * Reads the creation time of an idempotency key that is a UUID of version 7, whose first 48 bits are Unix milliseconds
 * (RFC 9562). Stateless.
 */
public final class KeyTimestamp {
    private static final Pattern VERSION_7 =
            Pattern.compile("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");
    private static final int HEX_RADIX = 16;

    private KeyTimestamp() {}

    /** Returns the creation time of the key in Unix milliseconds, or empty if the key is not a UUID of version 7. */
    public static OptionalLong mintedAtMillis(String key) {
        if (!VERSION_7.matcher(key).matches()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Long.parseLong(key.substring(0, 8) + key.substring(9, 13), HEX_RADIX));
    }
}
