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
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quetzalseam.core.routing.CallerLimits;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.protocol.RequestFacts;

@Timeout(30)
class CallerServerTest {
    private static final int CALLERS = 6;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final CountDownLatch accepted = new CountDownLatch(CALLERS);
    private final CallerServer server = new CallerServer(loop, protocol(), () -> CallerLimits.DEFAULT, this::accept);
    private int requests;

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private static Protocol protocol() {
        return (Protocol) Proxy.newProxyInstance(
                CallerServerTest.class.getClassLoader(),
                new Class<?>[] {Protocol.class},
                (self, method, arguments) -> new RequestFacts("", Long.MAX_VALUE, null, null, null, List.of()));
    }

    /** Accepts a request that does not end by itself; the shutdown callback of every second one throws. */
    private void accept(Exchange exchange) {
        boolean fails = requests++ % 2 == 0;
        exchange.onShutdown(() -> {
            if (fails) {
                throw new IllegalStateException("fails at shutdown");
            }
            exchange.answer(HttpResponseStatus.BAD_GATEWAY, "stops", new DefaultHttpHeaders());
        });
        accepted.countDown();
    }

    @Test
    void aRequestThatFailsAtShutdownDoesNotKeepOthersFromBeingAnswered() throws Exception {
        InetSocketAddress address = freeAddress();
        server.start(address);
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Socket caller = new Socket(address.getAddress(), address.getPort());
            caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            callers.add(caller);
        }
        accepted.await();
        loop.submit(() -> {
                    server.startDraining();
                    server.endAll();
                })
                .await();
        int answered = 0;
        for (Socket caller : callers) {
            caller.setSoTimeout(2_000);
            answered += new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                            .startsWith("HTTP/1.1 502")
                    ? 1
                    : 0;
            caller.close();
        }
        assertThat(answered).isEqualTo(CALLERS / 2);
        assertThat(loop.submit(server::inProgress).get()).isZero();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }
}
