package org.quetzalseam.gateway.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Headers that concern one connection only and aren't passed on. Stateless. */
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
    /** What a {@code Connection} header can't take out: without it a request would reach the wrong place. */
    private static final Set<String> NEVER_REMOVED = Set.of("host", "content-length", "content-type");

    private HopByHopHeaders() {}

    /** Removes them, and those that the {@code Connection} header names. */
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
