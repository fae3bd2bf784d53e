package org.quetzalseam.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * Computes a digest that is the same for each repetition of a request, whatever its id: over host, method, path with query,
 * the caller's credentials, the parts of the prompt that other requests may hold too, and the body. Two callers without credentials that send the same request are not told apart.
 */
final class RequestFingerprint {
    /** Length of a fingerprint in bytes; two of a million requests share one with a probability below 10^-26. */
    private static final int BYTES = 16;

    private RequestFingerprint() {}

    static String of(HttpRequest request, List<String> sharedParts, ByteBuf body) {
        MessageDigest digest = sha256();
        HttpHeaders headers = request.headers();
        update(digest, withoutPort(headers.get(HttpHeaderNames.HOST, "")));
        update(digest, request.method().name());
        update(digest, request.uri());
        update(digest, headers.get(HttpHeaderNames.AUTHORIZATION, ""));
        sharedParts.forEach(part -> update(digest, part));
        for (ByteBuffer part : body.nioBuffers()) {
            digest.update(part);
        }
        return HexFormat.of().formatHex(digest.digest(), 0, BYTES);
    }

    /** Entries may listen on different ports, which callers who reach them directly state as well. */
    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
    }

    private static void update(MessageDigest digest, String text) {
        digest.update(text.getBytes(StandardCharsets.UTF_8));
        // Separates the fields, so that their borders count. No field contains this character.
        digest.update((byte) '\n');
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("expected SHA-256, which every Java platform has", e);
        }
    }
}
