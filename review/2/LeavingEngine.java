import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two of seven engines are replaced, while prompts whose memory is booked at them are still being read at the prefill engine.
 * With trouble, the prefill engine has turned slow.
 */
final class LeavingEngine {
    private static final int ROUNDS = 5;
    private static final int DECODE_ENGINES = 6;
    private static final int REQUESTS = 8;
    private static final int PROMPT_TOKENS = 5_000;
    private static final long DRAIN_MILLIS = 2_000;
    /** How much longer than it must a leaving engine serves, in milliseconds. */
    private static final long LONGER_MILLIS = 1_000;
    /** Work of a slow server, in times of the usual. */
    private static final double SLOW = 5;

    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final AtomicInteger LATE = new AtomicInteger();

    private LeavingEngine() {}

    public static void main(String[] args) throws Exception {
        Record record = new Record(Path.of(args[0], "record.txt"));
        Store store = new Store();
        store.put("config", "main", Site.state(1, Site.route("dossier", "streaming", "llm", 14_000, 900)));
        Engine prefill = new Engine(store, record, "i-prefill", "prefill");
        List<Engine> decode = new ArrayList<>();
        for (int i = 0; i < DECODE_ENGINES; i++) {
            decode.add(decodeEngine(store, record, "i-decode-" + i));
        }
        Entry entry = new Entry("front-1", Path.of(args[1]), store.address(), Map.of()).start();
        if (!entry.awaitReady(30_000)) {
            record.add("the entry did not become ready");
            System.exit(2);
        }
        int served = 0;
        int started = DECODE_ENGINES;
        int cut = 0;
        for (int i = 0; i < 10; i++) {
            served += ask(entry, record, "warm-" + i) ? 1 : 0;
        }
        if (served < 8) {
            System.exit(2);
        }
        for (int round = 1; round <= ROUNDS; round++) {
            if (TROUBLE) {
                record.add("the prefill engine turns slow");
                prefill.slow(SLOW);
            }
            List<Thread> clients = new ArrayList<>();
            for (int i = 1; i <= REQUESTS; i++) {
                String id = "r" + round + "-" + i;
                Thread client = new Thread(() -> ask(entry, record, id));
                client.start();
                clients.add(client);
            }
            Engine.rest(150);
            decode.add(decodeEngine(store, record, "i-decode-" + started++));
            decode.add(decodeEngine(store, record, "i-decode-" + started++));
            Engine.rest(50);
            List<Engine> leaving = List.of(decode.remove(0), decode.remove(0));
            leaving.forEach(Engine::drain);
            Engine.rest(DRAIN_MILLIS + LONGER_MILLIS);
            for (Engine engine : leaving) {
                cut += engine.exit();
            }
            prefill.slow(1);
            for (Thread client : clients) {
                client.join();
            }
            Engine.rest(500);
            for (int i = 0; i < 6; i++) {
                ask(entry, record, "between-" + round + "-" + i);
            }
        }
        record.add(
                "DRAIN: %d requests reached a server later than %d ms after the ack; %d streams were cut off by its exit",
                LATE.get(), DRAIN_MILLIS, cut);
        System.exit(LATE.get() > 0 ? 1 : 0);
    }

    private static Engine decodeEngine(Store store, Record record, String id) throws Exception {
        return new Engine(store, record, id, "decode") {
            @Override
            void arrived(String request, long sinceMillis) {
                record.add(
                        "%s reaches %s%s",
                        request, id, sinceMillis < 0 ? "" : ", " + sinceMillis + " ms after the ack that it is draining");
                if (sinceMillis > DRAIN_MILLIS) {
                    LATE.incrementAndGet();
                }
            }
        };
    }

    private static boolean ask(Entry entry, Record record, String id) {
        record.add("client sends %s, streaming", id);
        Caller.Outcome got = Caller.ask(
                entry, "POST", "/dossier/1", id, 14_000,
                "X-Model: m", "X-Token-Counts: " + PROMPT_TOKENS + ",70", "X-Prompt-Prefix: " + id.hashCode() % 1000 + "1:" + PROMPT_TOKENS);
        record.add("client gets %d for %s (%s)", got.status(), id, got.served() ? "complete" : got.body().strip());
        return got.served();
    }
}
