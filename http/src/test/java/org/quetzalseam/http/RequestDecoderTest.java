package org.quetzalseam.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RequestDecoderTest {
    private static final int MAX_HEADERS = 16 * 1024;

    private final RequestDecoder decoder = new RequestDecoder(
            new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADERS).setMaxInitialLineLength(1024));
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    @AfterEach
    void release() {
        channel.finishAndReleaseAll();
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    /** Returns what was decoded since the last call: the targets of requests, the texts of bodies, {@code end} and {@code failed}. */
    private List<String> decoded() {
        List<String> decoded = new ArrayList<>();
        for (HttpObject part = channel.readInbound(); part != null; part = channel.readInbound()) {
            if (part.decoderResult().isFailure()) {
                decoded.add("failed");
            } else if (part instanceof HttpRequest request) {
                decoded.add(request.uri());
            } else if (part instanceof LastHttpContent last) {
                decoded.add("end" + last.trailingHeaders().size());
            } else {
                decoded.add(((io.netty.handler.codec.http.HttpContent) part)
                        .content()
                        .toString(StandardCharsets.UTF_8));
            }
            ReferenceCountUtil.release(part);
        }
        return decoded;
    }

    private static String get(String target) {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    private void next() {
        decoder.next();
        channel.runPendingTasks();
    }

    // Guards against all requests of one read being decoded at once, each of which takes many times its bytes.
    @Test
    void requestsAreDecodedOneByOne() {
        receive(get("/1") + get("/2") + get("/3"));
        assertThat(decoded()).containsExactly("/1", "end0");
        next();
        assertThat(decoded()).containsExactly("/2", "end0");
        next();
        assertThat(decoded()).containsExactly("/3", "end0");
        next();
        receive(get("/4"));
        assertThat(decoded()).containsExactly("/4", "end0");
    }

    // Guards against reading on and on from a client that does not wait for its answers.
    @Test
    void readingStopsWhileMuchWaitsAndGoesOnOnceItIsDecoded() {
        String ahead = get("/" + "x".repeat(900));
        int requests = RequestDecoder.MOST_BYTES_AHEAD / ahead.length() + 2;
        receive(get("/1") + ahead.repeat(requests));
        assertThat(channel.config().isAutoRead()).isFalse();
        assertThat(decoder.undecodedBytes()).isEqualTo(requests * ahead.length());
        for (int i = 0; i < requests; i++) {
            next();
        }
        assertThat(channel.config().isAutoRead()).isTrue();
        assertThat(decoder.undecodedBytes()).isZero();
    }

    // Guards against the decoder asking for more bytes by itself, as it does when those that it got made no message.
    @Test
    void nothingIsReadBeyondTheBound() {
        receive(get("/1"));
        receive("y".repeat(RequestDecoder.MOST_BYTES_AHEAD));
        assertThat(channel.config().isAutoRead()).isFalse();
        ReadCounter counter = new ReadCounter();
        channel.pipeline().addFirst(counter);
        channel.pipeline().fireChannelReadComplete();
        assertThat(counter.reads).isZero();
    }

    private static final class ReadCounter extends io.netty.channel.ChannelOutboundHandlerAdapter {
        private int reads;

        @Override
        public void read(io.netty.channel.ChannelHandlerContext ctx) {
            reads++;
        }
    }

    @Test
    void aBodyIsDecodedAsItArrives() {
        receive("POST /1 HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
        assertThat(decoded()).containsExactly("/1", "ab");
        receive("cd");
        assertThat(decoded()).containsExactly("end0");
    }

    // Guards against the lines of a head that never ends being kept as objects.
    @Test
    void aHeadIsDecodedOnlyWhenItIsWholeHoweverItIsSplit() {
        String text = "\r\n" + get("/1");
        for (int i = 0; i < text.length() - 1; i++) {
            receive(text.substring(i, i + 1));
            assertThat(decoded()).isEmpty();
        }
        assertThat(decoder.undecodedBytes()).isEqualTo(text.length() - 3);
        receive("\n");
        assertThat(decoded()).containsExactly("/1", "end0");
    }

    // Guards against a client with other line ends waiting for an answer that never comes.
    @Test
    void aHeadWithLineEndsThatAreNotAllowedFailsAtItsEnd() {
        receive("GET /1 HTTP/1.1\nHost: h\n\n");
        assertThat(decoded()).containsExactly("failed");
    }

    // Guards against a head within the limits of the decoder being refused for its length in bytes.
    @Test
    void aHeadOfTheShortestLinesWithinTheLimitIsDecoded() {
        receive("GET /1 HTTP/1.1\r\n" + "a:\r\n".repeat(MAX_HEADERS / 2 - 2) + "\r\n");
        assertThat(decoded()).containsExactly("/1", "end0");
    }

    @Test
    void aHeadWithoutEndFailsOnceItIsTooLong() {
        receive("GET /1 HTTP/1.1\r\n" + "name: value\r\n".repeat(MAX_HEADERS / 4));
        assertThat(decoded()).containsExactly("failed");
    }

    // Guards against the lines of a trailer being kept as objects.
    @Test
    void trailersAreDropped() {
        receive("POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + "a:b\r\n".repeat(100) + "\r\n");
        assertThat(decoded()).containsExactly("/1", "end0");
    }

    // Guards against the time that a request waited undecoded being lost, so that a server is given more time than is
    // left.
    @Test
    void aRequestThatWaitedCountsFromItsArrival() throws InterruptedException {
        receive(get("/1"));
        long before = System.nanoTime();
        receive(get("/2"));
        long after = System.nanoTime();
        Thread.sleep(20);
        receive(get("/3"));
        next();
        assertThat(decoder.arrivedAt()).isBetween(before, after);
        next();
        assertThat(decoder.arrivedAt()).isGreaterThan(after);
    }

    @Test
    void whatFollowsIsDiscardedOnDemand() {
        receive(get("/1") + get("/2"));
        decoder.discardRest();
        next();
        ByteBuf more = Unpooled.copiedBuffer(get("/3"), StandardCharsets.UTF_8);
        channel.writeInbound(more);
        assertThat(more.refCnt()).isZero();
        assertThat(decoded()).containsExactly("/1", "end0");
    }
}
