package org.quetzalseam.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalseam.daemon.engine.EngineException;
import org.quetzalseam.daemon.engine.EngineRequest;
import org.quetzalseam.daemon.engine.HttpEngine;
import org.quetzalseam.daemon.platform.HttpObjectStore;
import org.quetzalseam.daemon.platform.StoreException;
import org.quetzalseam.standins.raw.RawConnection;
import org.quetzalseam.standins.raw.RawServer;

/** Tests engines and stores that send an answer again, whole or in part, where the next one on its connection is due. */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class RepeatedAnswerTest {
    private static final int CALLS = 300;
    private static final int MAX_ADDED_THREADS = 20;

    /** When the copy is sent. */
    private enum Moment {
        WITH_THE_FIRST_ANSWER,
        JUST_BEFORE_THE_NEXT_ANSWER
    }

    /** A client, and a call that returns which of the two answers it got. */
    private record Caller(String name, String body, Function<String, Function<String, String>> client) {
        String body(String marker) {
            return body.formatted(marker);
        }
    }

    private record Case(Caller caller, int secondStatus, boolean chunks) {
        @Override
        public String toString() {
            return caller.name() + ", then " + secondStatus + (chunks ? ", chunks" : ", a length");
        }

        String answer(int status, String marker) {
            String body = caller.body(marker);
            String head = "HTTP/1.1 " + status + " Reason: text\r\nX-Of: " + marker + "\r\n";
            return chunks
                    ? head + "Transfer-Encoding: chunked\r\n\r\n0" + Integer.toHexString(body.length()) + "\r\n" + body
                            + "\r\n0\r\n\r\n"
                    : head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }
    }

    private static final Caller PREFILL = new Caller("prefill", "{\"kv_transfer_params\":\"%s\"}", base -> {
        HttpEngine engine = new HttpEngine(base);
        return id -> new String(
                engine.prefill(new EngineRequest(id, 0, "{}".getBytes(StandardCharsets.UTF_8)))
                        .join(),
                StandardCharsets.UTF_8);
    });
    private static final Caller READ =
            new Caller("read", "{\"metadata\":{\"name\":\"%s\",\"resourceVersion\":12},\"data\":\"\"}", base -> {
                HttpObjectStore store = new HttpObjectStore(base);
                return id -> store.read(id).orElseThrow().name();
            });
    private static final String VM =
            "{\"name\":\"%s\",\"role\":\"entry\",\"zone\":\"z\",\"pool\":\"\",\"host\":\"127.0.0.1\","
                    + "\"port\":1,\"operatorPort\":2,\"state\":\"live\"}";
    private static final Caller MEMBERS =
            new Caller("members", "{\"metadata\":{\"resourceVersion\":12},\"items\":[" + VM + "]}", base -> {
                HttpObjectStore store = new HttpObjectStore(base);
                return id -> store.members(0, Duration.ZERO).vms().get(0).name();
            });

    private static Stream<Case> cases() {
        return Stream.of(PREFILL, READ, MEMBERS)
                .flatMap(caller -> Stream.of(200, 500)
                        .flatMap(status -> Stream.of(false, true).map(chunks -> new Case(caller, status, chunks))));
    }

    // Guards against a prefill getting the KV handle of another request, and a read another object or an older list.
    @ParameterizedTest
    @MethodSource("cases")
    void aSecondCopyIsNeverPartOfTheNextAnswer(Case test) {
        List<String> mixed = new ArrayList<>();
        String first = test.answer(200, "first!");
        for (Moment moment : Moment.values()) {
            AtomicInteger bytes = new AtomicInteger();
            Map<RawConnection, Integer> carried = new ConcurrentHashMap<>();
            AtomicInteger calls = new AtomicInteger();
            try (RawServer server = new RawServer((request, connection) -> {
                String copy = first.substring(0, bytes.get());
                boolean repeated = moment == Moment.JUST_BEFORE_THE_NEXT_ANSWER && carried.containsKey(connection);
                carried.put(connection, 1);
                if (calls.getAndIncrement() % 2 == 0) {
                    connection.write(first + (moment == Moment.WITH_THE_FIRST_ANSWER ? copy : ""));
                } else {
                    connection.write((repeated ? copy : "") + test.answer(test.secondStatus(), "second"));
                }
            })) {
                for (int cut = 1; cut <= first.length(); cut++) {
                    bytes.set(cut);
                    calls.set(0);
                    // Each pair has a client of its own, so that a connection that is broken does not hide the next.
                    Function<String, String> client = test.caller().client().apply("http://127.0.0.1:" + server.port());
                    assertThat(told(client, "a")).contains("first!");
                    String second = told(client, "b");
                    if (!second.equals("failed") && !(test.secondStatus() == 200 && second.contains("second"))) {
                        mixed.add(moment + " after byte " + cut + ": " + second);
                    }
                }
            }
        }
        assertThat(mixed).isEmpty();
    }

    private static String told(Function<String, String> client, String id) {
        try {
            return client.apply(id);
        } catch (StoreException | CompletionException e) {
            assertThat(e instanceof StoreException || e.getCause() instanceof EngineException)
                    .isTrue();
            return "failed";
        }
    }

    // Guards against connections that carry several calls, and against threads that stay for each call or client.
    @Test
    void eachCallHasAConnectionOfItsOwnAndNoThread() {
        try (RawServer server =
                new RawServer((request, connection) -> connection.reply(200, PREFILL.body(request.method())))) {
            String base = "http://127.0.0.1:" + server.port();
            Function<String, String> prefills = PREFILL.client().apply(base);
            int threads = Thread.activeCount();
            for (int call = 0; call < CALLS; call++) {
                assertThat(told(prefills, "a")).contains("POST");
            }
            assertThat(server.connections()).isEqualTo(CALLS);
            assertThat(Thread.activeCount() - threads).isLessThan(MAX_ADDED_THREADS);
        }
    }
}
