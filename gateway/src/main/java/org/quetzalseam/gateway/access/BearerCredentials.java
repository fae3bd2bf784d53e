package org.quetzalseam.gateway.access;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads API keys from requests, as RFC 6750 defines for the header {@code Authorization}. Stateless. */
final class BearerCredentials {
    private static final Pattern BEARER = Pattern.compile("(?i:bearer) +([A-Za-z0-9._~+/-]+=*)");

    private BearerCredentials() {}

    /** Returns whether a request has credentials, well-formed or not. */
    static boolean present(HttpHeaders headers) {
        return headers.contains(HttpHeaderNames.AUTHORIZATION);
    }

    /** Returns the key if the request has exactly one, in the expected form. */
    static Optional<String> key(HttpHeaders headers) {
        List<String> values = headers.getAll(HttpHeaderNames.AUTHORIZATION);
        if (values.size() != 1) {
            return Optional.empty();
        }
        Matcher matcher = BEARER.matcher(values.get(0));
        return matcher.matches() ? Optional.of(matcher.group(1)) : Optional.empty();
    }
}
