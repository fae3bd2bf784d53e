package org.quetzalseam.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quetzalseam.standins.raw.RawConnection.End;
import org.quetzalseam.standins.raw.RawServer;

/** Tests a store that stops in the middle of an answer. */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class CutStoreAnswerTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nStore-Era: 3\r\n";
    private static final String OBJECT = "{\"metadata\":{\"name\":\"n\",\"resourceVersion\":12},\"data\":\"YWJj\"}";
    private static final String LIST =
            "{\"metadata\":{\"resourceVersion\":12},\"items\":[{\"name\":\"v\",\"role\":\"entry\",\"port\":1}]}";

    private static List<String> forms(String body) {
        return List.of(
                HEAD + "Content-Length: " + body.length() + "\r\n\r\n" + body,
                HEAD + "Transfer-Encoding: chunked\r\n\r\n0" + Integer.toHexString(body.length()) + "\r\n" + body
                        + "\r\n0\r\n\r\n",
                HEAD + "\r\n" + body);
    }

    private static List<String> takenForWhole(String body, Function<HttpObjectStore, Object> call) {
        List<String> taken = new ArrayList<>();
        for (String answer : forms(body)) {
            for (End end : End.values()) {
                cutAtEachByte(answer, end, call, taken);
            }
        }
        return taken;
    }

    private static void cutAtEachByte(
            String answer, End end, Function<HttpObjectStore, Object> call, List<String> taken) {
        AtomicInteger bytes = new AtomicInteger();
        try (RawServer server = new RawServer((request, connection) -> connection.cut(answer, bytes.get(), end))) {
            for (int cut = 0; cut < answer.length(); cut++) {
                bytes.set(cut);
                try {
                    Object result = call.apply(new HttpObjectStore("http://127.0.0.1:" + server.port()));
                    taken.add(end + " after byte " + cut + ": " + result);
                } catch (StoreException expected) {
                    // The answer is not usable, as it should be.
                }
            }
        }
    }

    // Guards against an object, a change or a list of VMs that ends with its connection passing for a whole one, as
    // an empty one.
    @Test
    void anAnswerThatIsCutAtAnyByteIsNotUsed() {
        assertThat(takenForWhole(OBJECT, store -> store.read("n"))).isEmpty();
        assertThat(takenForWhole(OBJECT, store -> store.watch("n", 0, Duration.ZERO)))
                .isEmpty();
        assertThat(takenForWhole(LIST, store -> store.members(0, Duration.ZERO)))
                .isEmpty();
    }
}
