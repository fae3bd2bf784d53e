package org.quetzalseam.gateway.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Hop-by-hop headers, which apply to a single connection and are not forwarded. Stateless. */
public final class HopByHopHeaders {
    private static final List<CharSequence> HOP_BY_HOP = List.of(
            HttpHeaderNames.CONNECTION,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.PROXY_AUTHENTICATE,
            HttpHeaderNames.PROXY_AUTHORIZATION,
            HttpHeaderNames.EXPECT,
            "Keep-Alive",
            "Proxy-Connection");
    /** Headers that a {@code Connection} header cannot remove, because without them a request would be misrouted. */
    private static final Set<String> NEVER_REMOVED = Set.of("host", "content-length", "content-type");

    private HopByHopHeaders() {}

    /**
     * Removes all hop-by-hop headers and those that the {@code Connection} header names, except headers that are needed to
     * route or read the message and headers that begin with {@code x-}.
     */
    public static void remove(HttpHeaders headers) {
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",", -1)) {
                String named = name.strip().toLowerCase(Locale.ROOT);
                if (!named.isEmpty() && !named.startsWith("x-") && !NEVER_REMOVED.contains(named)) {
                    headers.remove(named);
                }
            }
        }
        HOP_BY_HOP.forEach(headers::remove);
    }
}
