package org.quetzalseam.gateway.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quetzalseam.core.routing.CallerLimits;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.protocol.RequestFacts;

/** Tests callers whose bodies take more memory together than there is. */
@Timeout(30)
class BodyMemoryTest {
    private static final int MEMORY_BYTES = 10_000_000;
    private static final int BODY_BYTES = 4_000_000;
    private static final int PIECE_BYTES = 100_000;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final CallerServer server = new CallerServer(
            loop, protocol(), () -> CallerLimits.DEFAULT, BodyMemoryTest::answer, new BodyMemory(MEMORY_BYTES));
    private final InetSocketAddress address = server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));

    private static Protocol protocol() {
        return (Protocol) Proxy.newProxyInstance(
                BodyMemoryTest.class.getClassLoader(),
                new Class<?>[] {Protocol.class},
                (self, method, arguments) -> new RequestFacts("", Long.MAX_VALUE, null, null, null, List.of()));
    }

    private static void answer(Exchange exchange) {
        exchange.answer(HttpResponseStatus.OK, "taken", new DefaultHttpHeaders());
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private Socket connect() throws IOException {
        return new Socket(address.getAddress(), address.getPort());
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String head(int length) {
        return "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " + length + "\r\n\r\n";
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private String ask(int length) throws IOException {
        try (Socket socket = connect()) {
            write(socket, head(length));
            write(socket, "x".repeat(length));
            return readAll(socket);
        }
    }

    private void awaitUsed(long bytes) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (used() != bytes && System.nanoTime() < deadline) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertThat(used()).isEqualTo(bytes);
    }

    private long used() {
        return CompletableFuture.supplyAsync(server::bodyBytes, loop).join();
    }

    // Guards against bodies that are still arriving taking all memory, so that the event loop waits for more.
    @Test
    void aBodyForWhichThereIsNoMemoryIsRefusedBesideBodiesThatAreStillArriving() throws Exception {
        try (Socket one = connect();
                Socket two = connect()) {
            write(one, head(BODY_BYTES));
            write(two, head(BODY_BYTES));
            awaitUsed(2L * BODY_BYTES);
            assertThat(ask(BODY_BYTES)).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after: ");
            assertThat(ask(1_000)).as("a small body").startsWith("HTTP/1.1 200");
        }
        awaitUsed(0);
        assertThat(ask(BODY_BYTES)).startsWith("HTTP/1.1 200");
        awaitUsed(0);
    }

    // Guards against bodies in chunks, whose length is not known beforehand, being accepted without a bound.
    @Test
    void aBodyInChunksIsRefusedWhenTheMemoryIsUsedUp() throws Exception {
        try (Socket one = connect();
                Socket two = connect();
                Socket chunked = connect()) {
            write(one, head(BODY_BYTES));
            write(two, head(BODY_BYTES));
            awaitUsed(2L * BODY_BYTES);
            write(chunked, "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int sent = 0; sent < BODY_BYTES; sent += PIECE_BYTES) {
                write(chunked, Integer.toHexString(PIECE_BYTES) + "\r\n" + "x".repeat(PIECE_BYTES) + "\r\n");
            }
            write(chunked, "0\r\n\r\n");
            assertThat(readAll(chunked)).startsWith("HTTP/1.1 503");
        }
        awaitUsed(0);
    }
}
