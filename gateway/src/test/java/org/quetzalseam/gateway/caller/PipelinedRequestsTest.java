package org.quetzalseam.gateway.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.core.routing.CallerLimits;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.protocol.RequestFacts;
import org.quetzalseam.http.AnswerEncoder;
import org.quetzalseam.http.RequestDecoder;

/** Tests requests of one connection of which the last arrives when one has been answered and the next waiting one has not begun. */
class PipelinedRequestsTest {
    private static final Protocol PROTOCOL = (Protocol) Proxy.newProxyInstance(
            Protocol.class.getClassLoader(),
            new Class<?>[] {Protocol.class},
            (self, method, arguments) -> new RequestFacts("", Long.MAX_VALUE, null, null, null, List.of()));

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final List<Exchange> begun = new ArrayList<>();
    private final EmbeddedChannel channel = new EmbeddedChannel();

    @AfterEach
    void stop() {
        channel.finishAndReleaseAll();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    private void connect(BodyMemory memory) {
        CallerServer server = new CallerServer(group.next(), PROTOCOL, () -> CallerLimits.DEFAULT, begun::add, memory);
        RequestDecoder decoder = new RequestDecoder(new HttpDecoderConfig());
        channel.pipeline().addLast(new AnswerEncoder(decoder), decoder, new CallerConnection(server, channel, decoder));
    }

    private void answer(Exchange exchange) {
        String answer = "answer of " + exchange.request().uri();
        exchange.answer(HttpResponseStatus.OK, answer, new DefaultHttpHeaders());
    }

    private String written() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            text.append(part.toString(StandardCharsets.UTF_8));
            part.release();
        }
        return text.toString();
    }

    /** Sends two requests, and a third when the first has been answered; then answers all that have begun. */
    private String writtenWithThird(String third) {
        connect(new BodyMemory(1_000));
        channel.writeInbound(bytes("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"), bytes("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"));
        channel.eventLoop().execute(() -> {
            answer(begun.get(0));
            channel.pipeline().fireChannelRead(bytes(third));
            channel.pipeline().fireChannelReadComplete();
        });
        channel.runPendingTasks();
        for (int i = 1; i < begun.size(); i++) {
            answer(begun.get(i));
            channel.runPendingTasks();
        }
        return written();
    }

    // Guards against a caller receiving the answer to its third request where that to the second is due.
    @Test
    void requestsAreAnsweredInTheOrderOfTheirArrival() {
        assertThat(writtenWithThird("GET /3 HTTP/1.1\r\nHost: h\r\n\r\n"))
                .containsSubsequence("answer of /1", "answer of /2", "answer of /3");
    }

    // Guards against the refusal of a third request being taken for the answer to the second: it comes last.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /3 HTTP/1.1\r\nHo st h\r\nContent-Length: x\r\n\r\n",
                "POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 999999999\r\n\r\n",
                "POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n"
            })
    void theRefusalOfARequestIsNotWrittenBeforeTheAnswerToAnEarlierOne(String third) {
        String written = writtenWithThird(third);
        assertThat(written).containsSubsequence("answer of /1", "answer of /2");
        assertThat(written.substring(0, written.indexOf("answer of /2"))).doesNotContain("HTTP/1.1 4", "HTTP/1.1 503");
        assertThat(written.substring(written.indexOf("answer of /2"))).containsPattern("HTTP/1.1 (4..|503) ");
        assertThat(begun).hasSize(2);
    }

    // Guards against an answer being cut because the body of the next request is refused for want of memory.
    @Test
    void theRefusalOfABodyDoesNotCutTheAnswerInProgress() {
        connect(new BodyMemory(1_000));
        channel.writeInbound(bytes("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"));
        channel.writeInbound(bytes("POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + "x".repeat(2_000)));
        assertThat(channel.isOpen()).isTrue();
        answer(begun.get(0));
        channel.runPendingTasks();
        assertThat(written()).contains("answer of /1");
    }
}
