import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The servers of a service are replaced two at a time, one second after the other, where the list of all servers has 23 pages. With
 * trouble, the entries are stopped and started again in turn.
 */
final class PagedList {
    private static final int ENTRIES = 5;
    private static final int SERVERS = 12;
    private static final int OTHER_SERVERS = 1_100;
    /** Objects in a page of a list and time of an answer of the store, in milliseconds, as on the site. */
    private static final int PAGE_OBJECTS = 50;

    private static final long ANSWER_MILLIS = 4;
    private static final int CALLERS = 8;
    private static final int REPLACED_AT_A_TIME = 2;
    private static final long PLAY_MILLIS = 85_000;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long STABLE_WINDOW_MILLIS = 3_000;
    /** Time from one entry's SIGTERM to the next entry's, and from the last one's to the first one's again, in milliseconds. */
    private static final long GAP_MILLIS = 2_000;

    /** Longest addition to a gap, in milliseconds, so that the restarts don't keep step with the releases. */
    private static final int MORE_MILLIS = 1_000;

    private static final long PAUSE_MILLIS = 8_000;
    /** How long a leaving server serves after its ack, in milliseconds. */
    private static final long SERVES_MILLIS = 8_000;

    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final AtomicInteger ARRIVED = new AtomicInteger();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger UNKNOWN = new AtomicInteger();
    private static final AtomicBoolean DONE = new AtomicBoolean();
    private static final Set<String> LATE_AT = new ConcurrentSkipListSet<>();
    private static final Map<String, Long> DRAINING_SINCE = new ConcurrentHashMap<>();
    private static final Map<String, Long> STARTED_AT = new ConcurrentHashMap<>();
    private static final Map<String, Server> RUNNING = new ConcurrentHashMap<>();
    private static final Deque<String> READY = new ArrayDeque<>();
    private static Record record;
    private static Store store;
    private static int numbers;

    private PagedList() {}

    public static void main(String[] args) throws Exception {
        record = new Record(Path.of(args[0], "record.txt"));
        store = new Store(PAGE_OBJECTS, ANSWER_MILLIS);
        store.put("config", "main", Site.state(1, Site.route("licence", "unsafe", "portal", 1_500, 300)));
        for (int i = 0; i < SERVERS; i++) {
            addServer();
        }
        for (int i = 0; i < OTHER_SERVERS; i++) {
            // Servers of a service to which no route leads.
            store.put("servers", String.format("i-1%04d", i), Site.registration("llm", "127.0.0.1:9", "ready", "decode", 1));
        }
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            Path folder = Files.createDirectories(Path.of(args[1], "front" + i));
            entries.add(new Entry("front" + i, folder, store.address(), Map.of("first_start", "false")));
            start(entries.get(i), i);
        }
        for (Entry entry : entries) {
            if (!entry.awaitReady(30_000)) {
                record.add("an entry did not become ready");
                System.exit(2);
            }
        }
        for (int i = 0; i < CALLERS; i++) {
            int caller = i;
            Server.daemon(() -> call(entries, caller));
        }
        if (TROUBLE) {
            Server.daemon(() -> restartInTurn(entries));
        }
        long until = System.nanoTime() + PLAY_MILLIS * 1_000_000;
        while (System.nanoTime() < until) {
            for (int i = 0; i < REPLACED_AT_A_TIME; i++) {
                addServer();
            }
            for (int i = 0; i < REPLACED_AT_A_TIME; i++) {
                drain(READY.pollFirst());
            }
            Engine.rest(1_000);
        }
        DONE.set(true);
        record.add(
                "DRAIN: %d of %d requests reached a server later than %d ms after its ack, sent on by an entry in touch, at %s;"
                        + " %d unsafe requests have an unknown outcome",
                LATE.get(), ARRIVED.get(), DRAIN_MILLIS, LATE_AT, UNKNOWN.get());
        System.exit(LATE.get() > 0 ? 1 : 0);
    }

    private static void addServer() throws IOException {
        String id = String.format("i-0%03d", numbers++);
        Server server = new Server((head, in, socket) -> serve(id, head, in, socket));
        RUNNING.put(id, server);
        store.put("servers", id, Site.registration("portal", server.address(), "ready", null, 1));
        READY.addLast(id);
    }

    private static void drain(String id) {
        store.put("servers", id, Site.registration("portal", RUNNING.get(id).address(), "draining", null, 2));
        DRAINING_SINCE.put(id, System.nanoTime());
        record.add("%s is draining; the store has acknowledged that", id);
        Server.daemon(() -> {
            Engine.rest(SERVES_MILLIS);
            store.delete("servers", id);
            try {
                RUNNING.get(id).close();
                RUNNING.get(id).resetAll();
            } catch (IOException e) {
                record.add("%s could not be closed: %s", id, e);
            }
        });
    }

    private static void start(Entry entry, int number) throws IOException {
        STARTED_AT.put("front" + number, System.nanoTime());
        entry.start();
    }

    private static void restartInTurn(List<Entry> entries) {
        Random random = new Random(1);
        while (!DONE.get()) {
            for (int i = 0; i < ENTRIES; i++) {
                int number = i;
                Server.daemon(() -> restart(entries.get(number), number));
                Engine.rest((i < ENTRIES - 1 ? GAP_MILLIS : PAUSE_MILLIS) + random.nextInt(MORE_MILLIS));
            }
        }
    }

    private static void restart(Entry entry, int number) {
        try {
            record.add("front%d gets SIGTERM", number);
            STARTED_AT.remove("front" + number);
            entry.signal("TERM");
            while (entry.alive()) {
                Engine.rest(20);
            }
            record.add("front%d is started again", number);
            start(entry, number);
        } catch (IOException | InterruptedException e) {
            record.add("front%d was not started again: %s", number, e);
        }
    }

    private static void call(List<Entry> entries, int caller) {
        for (int i = 0; !DONE.get(); i++) {
            int entry = (caller + i) % ENTRIES;
            String id = "front" + entry + "-" + caller + "-" + i;
            Caller.Outcome got = Caller.ask(entries.get(entry), "POST", "/licence/1", id, 3_000);
            if (got.status() == 502) {
                UNKNOWN.incrementAndGet();
                record.add("client gets 502 for %s, unsafe", id);
            }
            Engine.rest(30);
        }
    }

    private static void serve(String server, Http.Head head, InputStream in, Socket socket) throws IOException {
        Http.body(head, in);
        String id = head.header("X-Request-Id");
        if (!head.header("X-Expected-Instance").equals(server)) {
            socket.getOutputStream().write(Http.answer(421, "", "X-Request-Id: " + id, "X-Not-Executed: 1"));
            return;
        }
        ARRIVED.incrementAndGet();
        long now = System.nanoTime();
        Long since = DRAINING_SINCE.get(server);
        long sinceMillis = since == null ? -1 : (now - since) / 1_000_000;
        // An entry is in touch from stable_window_ms after its start until it gets SIGTERM.
        Long startedAt = STARTED_AT.get(id.split("-", -1)[0]);
        long upMillis = startedAt == null ? -1 : (now - startedAt) / 1_000_000;
        if (sinceMillis > DRAIN_MILLIS && upMillis > STABLE_WINDOW_MILLIS + 100) {
            LATE.incrementAndGet();
            LATE_AT.add(server);
            record.add(
                    "%s runs %s, %d ms after the ack that it is draining; the entry was started %d ms ago",
                    server, id, sinceMillis, upMillis);
        }
        Engine.rest(60);
        socket.getOutputStream()
                .write(Http.answer(200, "done", "X-Request-Id: " + id, "X-Server-Signature: " + server + "." + id));
    }
}
