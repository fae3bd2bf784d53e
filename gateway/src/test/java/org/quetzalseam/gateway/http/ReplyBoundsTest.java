package org.quetzalseam.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

class ReplyBoundsTest {
    private final ReplyMemory memory = new ReplyMemory(1_000);
    private final HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);

    private ReplyBounds bounds(long maxBodyBytes) {
        ReplyBounds bounds = new ReplyBounds(memory);
        bounds.begin();
        assertThat(bounds.head(head, maxBodyBytes)).isNull();
        return bounds;
    }

    @Test
    void aBodyMayBeAsLongAsItsReceiverAccepts() {
        ReplyBounds bounds = bounds(600);
        assertThat(bounds.body(600)).isNull();
        assertThat(bounds.body(1)).contains("longer than 600 bytes");
    }

    @Test
    void aBodyThatStatesThatItIsTooLongIsNotRead() {
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, Long.MAX_VALUE);
        ReplyBounds bounds = new ReplyBounds(memory);
        bounds.begin();
        assertThat(bounds.head(head, 600)).contains("longer than 600 bytes");
    }

    // Guards against many replies that are each within their bound and together take all memory.
    @Test
    void allRepliesThatAreKeptShareOneBound() {
        ReplyBounds first = bounds(600);
        ReplyBounds second = bounds(900);
        assertThat(first.body(600)).isNull();
        assertThat(second.body(300)).isNull();
        assertThat(second.body(200)).contains("no memory");
        first.end();
        assertThat(second.body(200)).isNull();
        second.end();
        assertThat(memory.used()).isZero();
    }

    @Test
    void aStreamTakesNoMemory() {
        ReplyBounds stream = bounds(Long.MAX_VALUE);
        assertThat(stream.body(1_000_000)).isNull();
        assertThat(memory.used()).isZero();
    }

    @Test
    void memoryIsGivenBackOnce() {
        ReplyBounds bounds = bounds(600);
        bounds.body(100);
        bounds.end();
        bounds.end();
        bounds.begin();
        assertThat(memory.used()).isZero();
    }
}
