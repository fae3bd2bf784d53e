package org.quetzalseam.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.http.ReplyDecoder;
import org.quetzalseam.standins.raw.BrokenAnswers;
import org.quetzalseam.standins.raw.BrokenAnswers.Answer;

/**
 * Tests peers that send replies which HTTP/1.1 does not define. All replies of endpoints, to requests and to control calls, and of the
 * platform's store are received by {@link HttpConnection}.
 */
class BrokenReplyTest {
    private static final BrokenAnswers ANSWERS = new BrokenAnswers("a body of twenty-seven byte", "x-id: r", "x-s: 1");
    private static final String FIRST = "HTTP/1.1 200 OK\r\nx-id: first\r\nContent-Length: 5\r\n\r\nfirst";
    private static final String SOUND = "HTTP/1.1 200 OK\r\nx-id: r\r\nContent-Length: 5\r\n\r\nsound";

    /** Far more lines or heads than a client has to read before a reply, and far fewer than the kernel keeps for it. */
    private static final int MOST_REPEATS = 1_000;

    private final EmbeddedChannel channel;
    private final HttpConnection connection;

    BrokenReplyTest() {
        ReplyDecoder decoder = new ReplyDecoder(new HttpDecoderConfig());
        connection = new HttpConnection("x-id", decoder, new ReplyMemory(1_000_000), idle -> {}, closed -> {});
        channel = new EmbeddedChannel(new HttpRequestEncoder(), decoder, connection);
    }

    /** Records what a receiver is told of a reply. */
    private static final class Result implements ReplyListener {
        private final List<String> told = new ArrayList<>();

        @Override
        public void head(HttpResponse head) {
            told.add("head " + head.status().code());
        }

        @Override
        public void body(ByteBuf part) {
            part.release();
        }

        @Override
        public void completed() {
            told.add("completed");
        }

        @Override
        public void failed(CallFailure failure) {
            told.add(failure.kind().toString());
        }
    }

    private Result exchange(String id) {
        Result result = new Result();
        DefaultHttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        connection.exchange(request, Unpooled.EMPTY_BUFFER, id, result);
        return result;
    }

    private void receive(String text, boolean byteByByte) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int step = byteByByte ? 1 : bytes.length;
        for (int from = 0; from < bytes.length && channel.isOpen(); from += step) {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, from, step));
        }
    }

    private static Result receive(Answer answer, String before, boolean used, boolean byteByByte) {
        BrokenReplyTest peer = new BrokenReplyTest();
        if (used) {
            Result first = peer.exchange("first");
            peer.receive(FIRST, false);
            assertThat(first.told).contains("completed");
        }
        Result result = peer.exchange("r");
        peer.receive(before + answer.text(), byteByByte);
        if (answer.closes()) {
            peer.channel.finishAndReleaseAll();
        }
        result.told.add(peer.channel.isOpen() ? "open" : "closed");
        return result;
    }

    private static List<String> taken(String before, boolean used, boolean byteByByte) {
        List<String> taken = new ArrayList<>();
        for (Answer answer : ANSWERS.broken()) {
            List<String> told = receive(answer, before, used, byteByByte).told;
            boolean headIsSound = answer.name().endsWith("in a trailer");
            if (!told.equals(
                    headIsSound ? List.of("head 200", "MALFORMED", "closed") : List.of("MALFORMED", "closed"))) {
                taken.add(answer + ": " + told);
            }
        }
        return taken;
    }

    // Guards against a head that HTTP does not define being passed on as a reply, and against its body being passed on
    // in part.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aBrokenReplyIsNotTakenForOne(boolean used) {
        assertThat(taken("", used, false)).isEmpty();
    }

    // Guards against a broken line that is overlooked because it arrives in several reads.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aBrokenReplyThatArrivesByteByByteIsNotTakenForOne(boolean used) {
        assertThat(taken("", used, true)).isEmpty();
    }

    // Guards against the heads that are skipped being read with less care than the reply's own.
    @Test
    void aBrokenReplyAfterASkippedOneIsNotTakenForOne() {
        String skipped = "HTTP/1.1 200 OK\r\nx-id: other\r\nContent-Length: 5\r\n\r\nother";
        assertThat(taken("HTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + skipped, false, false))
                .isEmpty();
    }

    // Guards against a broken head of a reply to another request being skipped, and the reply after it being taken.
    @Test
    void aBrokenReplyToAnotherRequestIsNotSkipped() {
        BrokenAnswers others = new BrokenAnswers("another body", "x-id: other", "x-s: 1");
        List<String> taken = new ArrayList<>();
        for (Answer broken : others.broken()) {
            Answer both = new Answer(broken.name(), broken.text() + SOUND, broken.closes());
            List<String> told = receive(both, "", false, false).told;
            if (!told.equals(List.of("MALFORMED", "closed"))) {
                taken.add(broken + ": " + told);
            }
        }
        assertThat(taken).isEmpty();
    }

    // Guards against sound replies being lost to a check that is stricter than HTTP.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aReplyOfAnUnusualFormIsTaken(boolean byteByByte) {
        for (Answer answer : ANSWERS.unusual()) {
            assertThat(receive(answer, "", true, byteByByte).told)
                    .as(answer.name())
                    .startsWith("head 200", "completed");
        }
    }

    // Guards against reading bytes that are no reply until the request's deadline, instead of failing the request.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\n",
                "\n",
                " \r\n",
                "\u0000",
                "HTTP/1.1 103 Hints\r\n\r\n",
                "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n"
            })
    void bytesThatAreNoReplyAreBoundedInNumber(String endless) {
        for (boolean used : new boolean[] {false, true}) {
            Result result = receive(new Answer(endless, endless.repeat(MOST_REPEATS), false), "", used, true);
            assertThat(result.told).as("used before: %s", used).containsExactly("MALFORMED", "closed");
        }
    }

    // Guards against a bound on blank lines that interim replies between them reset, or the other way round.
    @Test
    void blankLinesBetweenInterimRepliesAreBoundedInNumber() {
        String endless = "\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n".repeat(MOST_REPEATS);
        assertThat(receive(new Answer("mixed", endless, false), "", false, false).told)
                .containsExactly("MALFORMED", "closed");
    }
}
