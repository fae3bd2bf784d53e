package org.quetzalseam.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalseam.standins.raw.RawConnection.End;
import org.quetzalseam.standins.raw.RawServer;

/**
 * Tests peers that stop in the middle of a reply: endpoints, to requests and to control calls, which state no id, and the platform's
 * store. All their replies are received by {@link HttpConnection}.
 */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class CutReplyTest {
    private static final int WHOLE = -1;
    private static final String STATUS = "HTTP/1.1 200 Very Good\r\n";
    private static final String FIELDS = "x-id: r\r\nX-Signature: s\r\n";
    private static final String BODY = "a body of twenty-seven byte";
    private static final String WITH_LENGTH = STATUS + FIELDS + "Content-Length: 27\r\n\r\n" + BODY;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final AtomicInteger bytes = new AtomicInteger();
    private final BlockingQueue<HttpConnection> idle = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** A whole reply, and the byte from which on it may count as whole if its connection is closed in order. */
    private record Reply(
            String name, String method, @Nullable String id, String text, int wholeFrom) {
        static Reply framed(String name, String method, @Nullable String id, String text) {
            return new Reply(name, method, id, text, text.length());
        }

        @Override
        public String toString() {
            return name;
        }
    }

    private static List<Reply> replies() {
        String chunks =
                STATUS + FIELDS + "Transfer-Encoding: chunked\r\n\r\n00b\r\na body of t\r\n10\r\nwenty-seven byte\r\n";
        String unframed = STATUS + FIELDS + "\r\n" + BODY;
        String skipped = "HTTP/1.1 200 OK\r\nx-id: other\r\nContent-Length: 5\r\n\r\nother";
        return List.of(
                Reply.framed("with a length", "POST", "r", WITH_LENGTH),
                Reply.framed("to a call without an id", "POST", null, WITH_LENGTH),
                Reply.framed("after an interim reply", "POST", "r", "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + WITH_LENGTH),
                Reply.framed("after a skipped reply", "POST", "r", skipped + WITH_LENGTH),
                Reply.framed("in chunks", "POST", "r", chunks + "0\r\n\r\n"),
                Reply.framed("in chunks, to a call without an id", "GET", null, chunks + "0\r\n\r\n"),
                Reply.framed("in chunks with a trailer", "POST", "r", chunks + "0\r\nX-Sum: 12\r\n\r\n"),
                new Reply("without a length", "POST", "r", unframed, unframed.length() - BODY.length()),
                Reply.framed("to HEAD", "HEAD", "r", STATUS + FIELDS + "Content-Length: 27\r\n\r\n"),
                Reply.framed("without content", "POST", "r", "HTTP/1.1 204 No Content\r\n" + FIELDS + "\r\n"),
                Reply.framed("not modified", "GET", "r", "HTTP/1.1 304 Not Modified\r\n" + FIELDS + "\r\n"));
    }

    // Guards against a reply whose head or body ends with its connection passing for a whole one.
    @ParameterizedTest
    @MethodSource("replies")
    void aReplyThatIsCutAtAnyByteIsNotTakenForWhole(Reply reply) throws Exception {
        List<String> taken = new ArrayList<>();
        for (End end : End.values()) {
            for (boolean reused : new boolean[] {false, true}) {
                cutAtEachByte(reply, end, reused, taken);
            }
        }
        assertThat(taken).isEmpty();
    }

    private void cutAtEachByte(Reply reply, End end, boolean reused, List<String> taken) throws Exception {
        try (RawServer server = new RawServer((request, connection) -> {
            if (bytes.get() == WHOLE) {
                connection.reply(200, "", "x-id: first");
            } else {
                connection.cut(reply.text(), bytes.get(), end);
            }
        })) {
            Connector connector = new Connector(loop, "x-id");
            int whole = end == End.RESET ? reply.text().length() : reply.wholeFrom();
            for (int cut = 0; cut < whole; cut++) {
                HttpConnection connection = connect(connector, server);
                if (reused) {
                    bytes.set(WHOLE);
                    assertThat(exchange(connection, "GET", "first")).isEqualTo("completed");
                    connection = idle.poll(5, TimeUnit.SECONDS);
                }
                bytes.set(cut);
                String result = exchange(connection, reply.method(), reply.id());
                if (!result.equals("failed")) {
                    taken.add(end + (reused ? " reused" : " new") + " after byte " + cut + ": " + result);
                }
            }
        }
    }

    @ParameterizedTest
    @MethodSource("replies")
    void aWholeReplyIsReceivedThoughItsConnectionIsClosedAfterIt(Reply reply) throws Exception {
        try (RawServer server = new RawServer((request, connection) ->
                connection.cut(reply.text(), reply.text().length(), End.CLOSED))) {
            HttpConnection connection = connect(new Connector(loop, "x-id"), server);
            assertThat(exchange(connection, reply.method(), reply.id())).isEqualTo("completed");
        }
    }

    private HttpConnection connect(Connector connector, RawServer server) throws Exception {
        CompletableFuture<HttpConnection> connected = new CompletableFuture<>();
        connector.connect(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()),
                idle::add,
                closed -> {},
                new Connector.ConnectListener() {
                    @Override
                    public void connected(HttpConnection connection) {
                        connected.complete(connection);
                    }

                    @Override
                    public void failed(CallFailure failure) {
                        connected.completeExceptionally(new IllegalStateException(failure.detail()));
                    }
                });
        return connected.get(5, TimeUnit.SECONDS);
    }

    private String exchange(@Nullable HttpConnection connection, String method, @Nullable String id) throws Exception {
        assertThat(connection).isNotNull();
        Result result = new Result();
        loop.execute(() -> {
            HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), "/");
            connection.exchange(request, Unpooled.EMPTY_BUFFER, id, result);
        });
        return result.end.get(5, TimeUnit.SECONDS);
    }

    private static final class Result implements ReplyListener {
        private final CompletableFuture<String> end = new CompletableFuture<>();

        @Override
        public void head(HttpResponse head) {
            // Only the end of the reply is tested.
        }

        @Override
        public void body(ByteBuf part) {
            part.release();
        }

        @Override
        public void completed() {
            end.complete("completed");
        }

        @Override
        public void failed(CallFailure failure) {
            end.complete("failed");
        }
    }
}
