package org.quetzalseam.standins.raw;

import java.util.Locale;
import java.util.Map;

/**
 * A request as it came. Immutable.
 *
 * @param method its method
 * @param path its path with the query
 * @param headers its headers, the names in lower case
 * @param body its body
 */
public record RawRequest(String method, String path, Map<String, String> headers, String body) {
    /** Returns a header's value, empty where there is none. */
    public String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
}
