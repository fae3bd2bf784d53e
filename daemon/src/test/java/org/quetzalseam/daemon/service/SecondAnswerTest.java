package org.quetzalseam.daemon.service;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalseam.http.ReplyDecoder;

/** Tests services that send an answer again, whole or in part, where the next one on its connection is due. */
class SecondAnswerTest {
    private static final int SPLITS_OF_EACH_PAIR = 200;

    /** When the copy is sent. */
    private enum Moment {
        WITH_THE_FIRST_ANSWER,
        WHILE_IDLE,
        JUST_BEFORE_THE_NEXT_ANSWER,
        BEFORE_THE_NEXT_ANSWER
    }

    /** Two answers that follow each other, and what the second call should be told. */
    private record Pair(String name, HttpMethod method, String first, String second, String expected) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static String answer(int status, String id, String order, String framing, String body) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("i", id.isEmpty() ? "" : "quetzalseam-call-id: " + id + "\r\n");
        fields.put("s", "X-Signature: of-" + body + "\r\n");
        fields.put("f", framing.equals("chunks") ? "Transfer-Encoding: chunked\r\n" : "Content-Length: 6\r\n");
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " Reason: text\r\n");
        order.chars().forEach(key -> text.append(fields.get(String.valueOf((char) key))));
        text.append("\r\n");
        return switch (framing) {
            case "chunks" ->
                text + "3\r\n" + body.substring(0, 3) + "\r\n03\r\n" + body.substring(3) + "\r\n0\r\nX-Sum: 1\r\n\r\n";
            case "a length" -> text + body;
            default -> text.toString();
        };
    }

    private static Pair pair(int first, int second, String order, String framing, boolean echo) {
        boolean head = framing.equals("HEAD");
        return new Pair(
                first + " then " + second + ", fields " + order + ", " + framing + (echo ? "" : ", without ids"),
                head ? HttpMethod.HEAD : HttpMethod.GET,
                answer(first, echo ? "one" : "", order, framing, "first!"),
                answer(second, echo ? "two" : "", order, framing, "second"),
                second + " of-second " + (head ? "" : "second"));
    }

    private static Stream<Pair> echoed() {
        List<Pair> pairs = new ArrayList<>();
        for (String order : List.of("isf", "sfi", "fis")) {
            for (String framing : List.of("a length", "chunks", "HEAD")) {
                pairs.add(pair(200, 500, order, framing, true));
                pairs.add(pair(500, 200, order, framing, true));
            }
        }
        return pairs.stream();
    }

    private static Stream<Pair> pairs() {
        return Stream.concat(
                echoed(),
                Stream.of("a length", "chunks", "HEAD").map(framing -> pair(200, 500, "isf", framing, false)));
    }

    // Guards against a copy, whole or cut at any byte, being handed out or joined with the answer to the next call.
    @ParameterizedTest
    @MethodSource("pairs")
    void aSecondCopyIsNeverPartOfTheNextAnswer(Pair pair) {
        List<String> mixed = new ArrayList<>();
        for (Moment moment : Moment.values()) {
            for (int bytes = 1; bytes <= pair.first().length(); bytes++) {
                String told = secondCall(pair, bytes, moment, new int[0]);
                if (!told.isEmpty() && !told.equals(pair.expected())) {
                    mixed.add(moment + " after byte " + bytes + ": " + told);
                }
            }
        }
        assertThat(mixed).isEmpty();
    }

    // Guards against a copy being joined with the next answer because their bytes arrive in several reads.
    @ParameterizedTest
    @MethodSource("pairs")
    void aSecondCopyIsNeverPartOfTheNextAnswerHoweverTheBytesAreSplit(Pair pair) {
        Random random = new Random(65);
        List<String> mixed = new ArrayList<>();
        for (int i = 0; i < SPLITS_OF_EACH_PAIR; i++) {
            int bytes = 1 + random.nextInt(pair.first().length());
            int[] splits =
                    random.ints(4, 1, bytes + pair.second().length()).sorted().toArray();
            String told = secondCall(pair, bytes, Moment.JUST_BEFORE_THE_NEXT_ANSWER, splits);
            if (!told.isEmpty() && !told.equals(pair.expected())) {
                mixed.add("after byte " + bytes + ": " + told);
            }
        }
        assertThat(mixed).isEmpty();
    }

    // Guards against the tests above passing because no connection is ever used again.
    @ParameterizedTest
    @MethodSource("echoed")
    void aServiceThatEchoesTheIdsKeepsItsConnection(Pair pair) {
        assertThat(secondCall(pair, 0, Moment.WHILE_IDLE, new int[0])).isEqualTo(pair.expected());
    }

    // Guards against an answer without the call's id counting on a connection that has carried another call.
    @ParameterizedTest
    @MethodSource("echoed")
    void anAnswerOnAUsedConnectionCountsOnlyWithTheIdOfItsCall(Pair pair) {
        for (String line : List.of("", "quetzalseam-call-id: two\r\nquetzalseam-call-id: two\r\n")) {
            Pair changed = new Pair(
                    pair.name(),
                    pair.method(),
                    pair.first(),
                    pair.second().replace("quetzalseam-call-id: two\r\n", line),
                    "");
            assertThat(secondCall(changed, 0, Moment.WHILE_IDLE, new int[0])).isEmpty();
        }
    }

    // Guards against an answer that is cut counting as whole where it carries the id that its connection needs.
    @ParameterizedTest
    @MethodSource("echoed")
    void anAnswerThatIsCutAtAnyByteOnAUsedConnectionFails(Pair pair) {
        for (int bytes = 0; bytes < pair.second().length(); bytes++) {
            String cut = pair.second().substring(0, bytes);
            Pair changed = new Pair(pair.name(), pair.method(), pair.first(), cut, "");
            assertThat(secondCall(changed, 0, Moment.WHILE_IDLE, new int[0]))
                    .as("after byte %s", bytes)
                    .isEmpty();
        }
    }

    /** Returns what the second call is told, empty if it fails or can't be made on the same connection. */
    private static String secondCall(Pair pair, int bytes, Moment moment, int[] splits) {
        List<ServiceConnection> idle = new ArrayList<>();
        ReplyDecoder decoder = new ReplyDecoder(new HttpDecoderConfig());
        ServiceConnection connection =
                new ServiceConnection(decoder, AnswerMemory.ofProcess(() -> 0), idle::add, idle::remove);
        EmbeddedChannel channel = new EmbeddedChannel(new HttpRequestEncoder(), decoder, connection);
        String copy = pair.first().substring(0, bytes);
        CompletableFuture<ServiceAnswer> first = call(connection, channel, pair.method(), "one");
        receive(channel, pair.first() + (moment == Moment.WITH_THE_FIRST_ANSWER ? copy : ""));
        assertThat(first)
                .isCompletedWithValueMatching(
                        answer -> "of-first!".equals(answer.headers().get("x-signature")));
        if (moment == Moment.WHILE_IDLE) {
            receive(channel, copy);
        }
        if (idle.isEmpty() || !connection.open()) {
            return "";
        }
        CompletableFuture<ServiceAnswer> second = call(connection, channel, pair.method(), "two");
        if (moment == Moment.BEFORE_THE_NEXT_ANSWER) {
            receive(channel, copy);
        }
        String rest = (moment == Moment.JUST_BEFORE_THE_NEXT_ANSWER ? copy : "") + pair.second();
        int from = 0;
        for (int split : splits) {
            receive(channel, rest.substring(from, split));
            from = split;
        }
        receive(channel, rest.substring(from));
        channel.finishAndReleaseAll();
        return second.handle((answer, failure) -> failure == null ? describe(answer) : "")
                .getNow("nothing");
    }

    private static CompletableFuture<ServiceAnswer> call(
            ServiceConnection connection, EmbeddedChannel channel, HttpMethod method, String id) {
        CompletableFuture<ServiceAnswer> answer = new CompletableFuture<>();
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/x");
        request.headers().set("Quetzalseam-Call-Id", id);
        connection.send(request, answer);
        channel.runPendingTasks();
        return answer;
    }

    private static String describe(ServiceAnswer answer) {
        return answer.status() + " " + answer.headers().get("x-signature") + " "
                + new String(answer.body(), StandardCharsets.UTF_8);
    }

    private static void receive(EmbeddedChannel channel, String text) {
        if (!text.isEmpty() && channel.isOpen()) {
            channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        }
    }
}
