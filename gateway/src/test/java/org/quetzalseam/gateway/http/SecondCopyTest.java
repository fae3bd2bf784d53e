package org.quetzalseam.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.http.ReplyDecoder;

/**
 * Tests servers that begin to send a reply again where the next one on its connection is due. All replies of endpoints and of the
 * platform's store are received by {@link HttpConnection}.
 */
class SecondCopyTest {
    private static final int SPLITS_OF_EACH_PAIR = 200;

    /** When the beginning of the copy is sent. */
    private enum Moment {
        WITH_THE_FIRST_REPLY,
        WHILE_IDLE,
        JUST_BEFORE_THE_NEXT_REPLY,
        BEFORE_THE_NEXT_REPLY
    }

    /** Two replies that follow each other, with and without an id, whose bodies and markers name them. */
    private record Pair(String name, String first, String second, boolean withId) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static String reply(int status, String id, String order, String framing, String body) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("i", id.isEmpty() ? "" : "x-id: " + id + "\r\n");
        fields.put("s", "X-Signature: of-" + body + "\r\n");
        fields.put("f", framing.equals("chunks") ? "Transfer-Encoding: chunked\r\n" : "Content-Length: 6\r\n");
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " Reason: text\r\n");
        order.chars().forEach(key -> text.append(fields.get(String.valueOf((char) key))));
        text.append("\r\n");
        return text
                + (framing.equals("chunks")
                        ? "3\r\n" + body.substring(0, 3) + "\r\n03\r\n" + body.substring(3)
                                + "\r\n0\r\nX-Sum: 1\r\n\r\n"
                        : body);
    }

    private static Pair pair(int first, int second, String order, String framing, boolean withId) {
        return new Pair(
                first + " then " + second + ", fields " + order + ", " + framing + (withId ? "" : ", without an id"),
                reply(first, withId ? "one" : "", order, framing, "first!"),
                reply(second, withId ? "two" : "", order, framing, "second"),
                withId);
    }

    static Stream<Pair> pairs() {
        List<Pair> pairs = new ArrayList<>();
        for (String order : List.of("isf", "sfi", "fis")) {
            for (String framing : List.of("a length", "chunks")) {
                pairs.add(pair(200, 500, order, framing, true));
                pairs.add(pair(500, 200, order, framing, true));
                pairs.add(pair(200, 500, order, framing, false));
            }
        }
        pairs.add(pair(503, 200, "isf", "a length", true));
        pairs.add(pair(200, 503, "sfi", "chunks", false));
        return pairs.stream();
    }

    // Guards against the head of a second copy, cut at any byte, making the next reply's body and id its own.
    @ParameterizedTest
    @MethodSource("pairs")
    void theBeginningOfASecondCopyIsNotJoinedWithTheNextReply(Pair pair) {
        List<String> mixed = new ArrayList<>();
        for (Moment moment : Moment.values()) {
            for (int bytes = 1; bytes < pair.first().length(); bytes++) {
                String result = secondExchange(pair, bytes, moment, new int[0]);
                if (isMixed(result, pair)) {
                    mixed.add(moment + " after byte " + bytes + ": " + result);
                }
            }
        }
        assertThat(mixed).isEmpty();
    }

    // Guards against a joined reply passing because its bytes arrive in several reads.
    @ParameterizedTest
    @MethodSource("pairs")
    void theBeginningOfASecondCopyIsNotJoinedHoweverTheBytesAreSplit(Pair pair) {
        Random random = new Random(65);
        List<String> mixed = new ArrayList<>();
        for (int i = 0; i < SPLITS_OF_EACH_PAIR; i++) {
            int bytes = 1 + random.nextInt(pair.first().length() - 1);
            int[] splits =
                    random.ints(4, 1, bytes + pair.second().length()).sorted().toArray();
            String result = secondExchange(pair, bytes, Moment.JUST_BEFORE_THE_NEXT_REPLY, splits);
            if (isMixed(result, pair)) {
                mixed.add("after byte " + bytes + ": " + result);
            }
        }
        assertThat(mixed).isEmpty();
    }

    // Guards against a second status line that passes for a part of the first one because it is spelled otherwise.
    @ParameterizedTest
    @ValueSource(strings = {"http/1.1 ", "Http/1.1 ", "HTTP/1.1  ", "HTTP/1.1\t"})
    void theBeginningOfASecondCopyIsNotJoinedThoughItsStatusLineIsSpelledOtherwise(String spelling) {
        for (int bytes = 1;
                bytes < pair(200, 500, "sfi", "a length", true).first().length();
                bytes++) {
            Pair usual = pair(200, 500, "sfi", "a length", true);
            Pair other =
                    new Pair(spelling, usual.first(), usual.second().replace("HTTP/1.1 ", spelling), usual.withId());
            String result = secondExchange(other, bytes, Moment.BEFORE_THE_NEXT_REPLY, new int[0]);
            assertThat(isMixed(result, usual))
                    .as("%s after byte %d", result, bytes)
                    .isFalse();
        }
    }

    // Guards against a whole second copy being taken for the reply to another request.
    @ParameterizedTest
    @MethodSource("pairs")
    void aWholeSecondCopyIsNotTakenForTheNextReply(Pair pair) {
        for (Moment moment : Moment.values()) {
            boolean known = pair.withId() || moment == Moment.WITH_THE_FIRST_REPLY || moment == Moment.WHILE_IDLE;
            if (known) {
                String result = secondExchange(pair, pair.first().length(), moment, new int[0]);
                assertThat(result).as("%s", moment).doesNotContain("first!");
            }
        }
    }

    /** Returns whether a reply was taken that is not the second one, byte for byte. */
    private static boolean isMixed(String result, Pair pair) {
        String status = pair.second().substring("HTTP/1.1 ".length(), "HTTP/1.1 500".length());
        boolean whole = result.equals(status + " of-second second");
        // Without an id a body may be joined of both; such replies are read as JSON objects, which a joined one is not.
        boolean joinedBody = !pair.withId()
                && result.startsWith("200 of-first! ")
                && pair.first().startsWith("HTTP/1.1 200");
        return !result.isEmpty() && !whole && !joinedBody;
    }

    /** Returns what the second exchange received, empty if it failed or could not be made on the same connection. */
    private String secondExchange(Pair pair, int bytes, Moment moment, int[] splits) {
        List<HttpConnection> idle = new ArrayList<>();
        ReplyDecoder decoder = new ReplyDecoder(new HttpDecoderConfig());
        HttpConnection connection =
                new HttpConnection("x-id", decoder, new ReplyMemory(1_000_000), idle::add, closed -> {});
        EmbeddedChannel channel = new EmbeddedChannel(new HttpRequestEncoder(), decoder, connection);
        String copy = pair.first().substring(0, bytes);
        Result first = exchange(connection, "/first", pair.withId() ? "one" : null);
        receive(channel, pair.first() + (moment == Moment.WITH_THE_FIRST_REPLY ? copy : ""));
        assertThat(first.end).contains("first!");
        if (moment == Moment.WHILE_IDLE) {
            receive(channel, copy);
        }
        if (idle.isEmpty() || !connection.open()) {
            return "";
        }
        Result second = exchange(connection, "/second", pair.withId() ? "two" : null);
        if (moment == Moment.BEFORE_THE_NEXT_REPLY) {
            receive(channel, copy);
        }
        receiveInParts(channel, (moment == Moment.JUST_BEFORE_THE_NEXT_REPLY ? copy : "") + pair.second(), splits);
        channel.finishAndReleaseAll();
        return second.end;
    }

    private static void receiveInParts(EmbeddedChannel channel, String text, int[] splits) {
        int from = 0;
        for (int split : splits) {
            receive(channel, text.substring(from, split));
            from = split;
        }
        receive(channel, text.substring(from));
    }

    private static void receive(EmbeddedChannel channel, String text) {
        if (!text.isEmpty() && channel.isOpen()) {
            channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        }
    }

    private static Result exchange(HttpConnection connection, String path, @Nullable String id) {
        Result result = new Result();
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        connection.exchange(request, Unpooled.EMPTY_BUFFER, id, result);
        return result;
    }

    /** Completes with status, signature and body of a reply, or with nothing if it fails. */
    private static final class Result implements ReplyListener {
        private String end = "";
        private final StringBuilder text = new StringBuilder();

        @Override
        public void head(HttpResponse head) {
            text.append(head.status().code())
                    .append(' ')
                    .append(head.headers().get("X-Signature"))
                    .append(' ');
        }

        @Override
        public void body(ByteBuf part) {
            text.append(part.toString(StandardCharsets.UTF_8));
            part.release();
        }

        @Override
        public void completed() {
            end = text.toString();
        }

        @Override
        public void failed(CallFailure failure) {
            // The end stays empty.
        }
    }
}
