package org.quetzalseam.http;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Iterator;
import java.util.Map;

/** Estimates the memory of the heads of requests. Stateless. */
public final class HeadMemory {
    /** Memory of a request without headers, in bytes: the objects of the exchange and the table of the headers. */
    private static final int REQUEST_BYTES = 1_024;
    /** Memory of a header beside its characters, in bytes: its entry and two texts. */
    private static final int HEADER_BYTES = 160;

    private HeadMemory() {}

    /** Returns the memory of a request's head, in bytes. */
    public static long bytes(HttpRequest request) {
        long bytes = REQUEST_BYTES + (long) request.uri().length();
        Iterator<Map.Entry<CharSequence, CharSequence>> headers =
                request.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            Map.Entry<CharSequence, CharSequence> header = headers.next();
            bytes += HEADER_BYTES
                    + (long) header.getKey().length()
                    + header.getValue().length();
        }
        return bytes;
    }
}
