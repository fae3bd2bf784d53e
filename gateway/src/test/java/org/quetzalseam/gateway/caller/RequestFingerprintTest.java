package org.quetzalseam.gateway.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestFingerprintTest {
    private static String fingerprint(String host, String path, String credentials, String id, String body) {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path);
        request.headers().set("Host", host).set("X-Request-Id", id).set("Authorization", credentials);
        return RequestFingerprint.of(request, List.of(), Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    }

    @Test
    void aRepetitionHasTheSameFingerprintWhateverItsIdAndThePortOfItsEntry() {
        String first = fingerprint("h.example:8144", "/a?b=c", "Bearer x", "r1", "body");
        assertThat(first).hasSize(32);
        assertThat(fingerprint("h.example", "/a?b=c", "Bearer x", "r2", "body")).isEqualTo(first);
    }

    @Test
    void anotherHostPathCallerOrBodyHasAnotherFingerprint() {
        String first = fingerprint("h", "/a", "x", "r1", "body");
        assertThat(fingerprint("g", "/a", "x", "r1", "body")).isNotEqualTo(first);
        assertThat(fingerprint("h", "/b", "x", "r1", "body")).isNotEqualTo(first);
        assertThat(fingerprint("h", "/a", "y", "r1", "body")).isNotEqualTo(first);
        assertThat(fingerprint("h", "/a", "x", "r1", "other")).isNotEqualTo(first);
    }

    @Test
    void requestsWithOtherPartsInTheirPromptsHaveOtherFingerprints() {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a");
        String first = RequestFingerprint.of(request, List.of("5a", "0b"), Unpooled.EMPTY_BUFFER);
        assertThat(RequestFingerprint.of(request, List.of("5a", "0b"), Unpooled.EMPTY_BUFFER))
                .isEqualTo(first);
        assertThat(RequestFingerprint.of(request, List.of("5a"), Unpooled.EMPTY_BUFFER))
                .isNotEqualTo(first);
        assertThat(RequestFingerprint.of(request, List.of("0b", "5a"), Unpooled.EMPTY_BUFFER))
                .isNotEqualTo(first);
    }

    @Test
    void theBordersOfTheFieldsCount() {
        assertThat(fingerprint("h", "/a", "bc", "r1", "d")).isNotEqualTo(fingerprint("h", "/ab", "c", "r1", "d"));
    }

    @Test
    void anAddressInBracketsKeepsItsColons() {
        assertThat(fingerprint("[::1]:80", "/a", "", "r1", "")).isEqualTo(fingerprint("[::1]", "/a", "", "r1", ""));
    }
}
