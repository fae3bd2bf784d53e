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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quetzalseam.core.routing.CallerLimits;
import org.quetzalseam.gateway.http.ConnectionLimits;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.protocol.RequestFacts;

/** Tests what an entry does when callers reach the limits on their connections and on the memory of these. */
@Timeout(30)
class CallerLimitsTest {
    private static final int AMPLE = 1_000_000;
    private static final String REQUEST = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n";

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final BlockingQueue<String> reached = new LinkedBlockingQueue<>();
    private final BlockingQueue<Exchange> begun = new LinkedBlockingQueue<>();
    private final List<Socket> callers = new ArrayList<>();
    private InetSocketAddress address = new InetSocketAddress(0);

    @AfterEach
    void stop() throws IOException {
        for (Socket caller : callers) {
            caller.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void start(int connections, long heldBytes, long headBytes) {
        Protocol protocol = (Protocol) Proxy.newProxyInstance(
                Protocol.class.getClassLoader(),
                new Class<?>[] {Protocol.class},
                (self, method, arguments) -> new RequestFacts("", Long.MAX_VALUE, null, null, null, List.of()));
        address = CallerServer.limited(
                        loop,
                        protocol,
                        () -> CallerLimits.DEFAULT,
                        begun::add,
                        new ConnectionLimits(connections, 1, 1, heldBytes, headBytes),
                        reached::add)
                .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    private Socket connect(String text) throws IOException {
        Socket caller = new Socket(address.getAddress(), address.getPort());
        callers.add(caller);
        caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return caller;
    }

    private static String readAll(Socket caller) throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private Exchange next() throws InterruptedException {
        Exchange exchange = begun.poll(10, TimeUnit.SECONDS);
        assertThat(exchange).isNotNull();
        return exchange;
    }

    // Guards against requests in progress filling the heap with their heads; what is refused says that it has not run.
    @Test
    void aRequestWithoutMemoryForItsHeadIsRefusedAndServedOnceThereIs() throws Exception {
        start(AMPLE, AMPLE, 2_000);
        connect(REQUEST);
        Exchange first = next();
        assertThat(readAll(connect(REQUEST))).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after: 1");
        assertThat(reached.poll(10, TimeUnit.SECONDS)).isEqualTo("head-bytes");
        loop.submit(() -> first.answer(HttpResponseStatus.OK, "done", new DefaultHttpHeaders()))
                .await();
        connect(REQUEST);
        assertThat(next()).isNotSameAs(first);
    }

    // Guards against connections that do nothing keeping a new caller out.
    @Test
    void beyondTheMostConnectionsTheOneIdleForLongestIsClosed() throws Exception {
        start(2, AMPLE, AMPLE);
        connect(REQUEST);
        Exchange busy = next();
        Socket idle = connect("GET /");
        Socket newest = connect(REQUEST);
        assertThat(next()).isNotSameAs(busy);
        assertThat(idle.getInputStream().read()).isNegative();
        assertThat(reached).containsExactly("caller-connections");
        assertThat(newest.isConnected()).isTrue();
    }

    // Guards against what is sent ahead on many connections filling the memory.
    @Test
    void beyondTheMostHeldBytesTheConnectionThatHoldsMostIsClosed() throws Exception {
        start(AMPLE, 12 * 1024, AMPLE);
        Socket little = connect(REQUEST);
        Exchange kept = next();
        little.getOutputStream().write(REQUEST.getBytes(StandardCharsets.ISO_8859_1));
        connect(REQUEST + "GET /" + "x".repeat(13 * 1024));
        next();
        assertThat(reached.poll(10, TimeUnit.SECONDS)).isEqualTo("held-bytes");
        loop.submit(() -> kept.answer(HttpResponseStatus.OK, "done", new DefaultHttpHeaders()))
                .await();
        assertThat(next().request().uri()).isEqualTo("/wait");
        assertThat(reached).isEmpty();
    }
}
