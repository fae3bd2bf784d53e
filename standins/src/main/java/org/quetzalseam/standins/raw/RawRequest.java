package org.quetzalseam.standins.raw;

import java.util.Locale;
import java.util.Map;

/**
 * A request as received. Immutable.
 *
 * @param method HTTP method
 * @param path path with the query
 * @param headers headers by name in lower case
 * @param body body as text
 */
public record RawRequest(String method, String path, Map<String, String> headers, String body) {
    /** Returns a header's value, or an empty string when it is absent. */
    public String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
}
