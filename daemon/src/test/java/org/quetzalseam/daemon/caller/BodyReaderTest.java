package org.quetzalseam.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.daemon.http.ExchangeServer;
import org.quetzalseam.wire.runtime.TimerService;

class BodyReaderTest {
    private final TimerService timers = new TimerService("test");
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final ExchangeServer server = new ExchangeServer("127.0.0.1", 0, executor);

    @AfterEach
    void stop() {
        server.stop();
        executor.shutdownNow();
        timers.stop();
    }

    @Test
    void aBodySentTooSlowlyIsRejectedWithTooSlow() throws IOException {
        BodyReader bodies = new BodyReader(timers, Duration.ofMillis(100));
        server.handle("/", exchange -> assertThat(bodies.read(exchange)).isNotNull());
        server.start();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.getOutputStream()
                    .write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nonly this"
                            .getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertThat(answer).contains("408", "too-slow", "not-run");
        }
    }
}
