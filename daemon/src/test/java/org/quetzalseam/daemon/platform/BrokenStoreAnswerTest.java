package org.quetzalseam.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.standins.raw.BrokenAnswers;
import org.quetzalseam.standins.raw.BrokenAnswers.Answer;
import org.quetzalseam.standins.raw.RawServer;

/** Tests a store that sends answers which HTTP/1.1 does not define, or bytes without end. */
@Timeout(value = 3, unit = TimeUnit.MINUTES)
class BrokenStoreAnswerTest {
    private static final String OBJECT = "{\"metadata\":{\"name\":\"n\",\"resourceVersion\":12},\"data\":\"YWJj\"}";
    private static final String LIST =
            "{\"metadata\":{\"resourceVersion\":12},\"items\":[{\"name\":\"v\",\"role\":\"entry\",\"port\":1}]}";

    private static List<String> used(String body, Function<HttpObjectStore, Object> call) {
        List<String> used = new ArrayList<>();
        for (Answer answer : new BrokenAnswers(body, "Store-Era: 3", "X-S: 1").broken()) {
            try (RawServer server = new RawServer((request, connection) -> {
                connection.write(answer.text());
                connection.finish();
            })) {
                HttpObjectStore store = new HttpObjectStore("http://127.0.0.1:" + server.port());
                String told = told(store, call);
                if (!told.equals("UNAVAILABLE") || store.era() != 0) {
                    used.add(answer + ": " + told + ", era " + store.era());
                }
            }
        }
        return used;
    }

    private static String told(HttpObjectStore store, Function<HttpObjectStore, Object> call) {
        try {
            return "used: " + call.apply(store);
        } catch (StoreException e) {
            return e.code().toString();
        }
    }

    // Guards against an object, a write or a list of VMs being taken from an answer that HTTP does not define.
    @Test
    void aBrokenAnswerIsNotUsed() {
        assertThat(used(OBJECT, store -> store.read("n"))).isEmpty();
        assertThat(used(OBJECT, store -> store.create("n", new byte[1]))).isEmpty();
        assertThat(used(OBJECT, store -> store.watch("n", 0, Duration.ZERO))).isEmpty();
        assertThat(used(LIST, store -> store.members(0, Duration.ZERO))).isEmpty();
    }

    // Guards against a process that keeps what the store sends without end.
    @ParameterizedTest
    @ValueSource(strings = {"\r\n", "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"})
    void bytesWithoutEndAreBoundedInNumber(String begin) {
        String endless = (begin.contains("200") ? "x" : begin).repeat(10_000);
        try (RawServer server = new RawServer((request, connection) -> {
            connection.write(begin);
            while (true) {
                connection.write(endless);
            }
        })) {
            HttpObjectStore store = new HttpObjectStore("http://127.0.0.1:" + server.port());
            Duration longWait = Duration.ofSeconds(20);
            long start = System.nanoTime();
            assertThat(told(store, one -> one.watch("n", 0, longWait))).isEqualTo("UNAVAILABLE");
            assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(10));
        }
    }

    // Guards against a large answer that is cut, or never read to its end, because reading pauses while parts of it
    // wait.
    @Test
    void aLargeSoundAnswerIsReadWhole() {
        String data = "YWJj".repeat(2_000_000);
        try (RawServer server = new RawServer(
                (request, connection) -> connection.reply(200, OBJECT.replace("YWJj", data), "Store-Era: 3"))) {
            HttpObjectStore store = new HttpObjectStore("http://127.0.0.1:" + server.port());
            assertThat(store.read("n").orElseThrow().value()).hasSize(6_000_000);
        }
    }
}
