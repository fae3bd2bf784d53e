import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of many servers leaves. With trouble, the entry has been stopped and started again, and reads the list of the servers, which
 * has two pages, at that moment.
 */
final class PagedList {
    private static final int OTHER_SERVERS = 600;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long STABLE_WINDOW_MILLIS = 3_000;
    /** How long the leaving server serves after its ack, in milliseconds. */
    private static final long SERVES_MILLIS = 10_000;

    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger UNKNOWN = new AtomicInteger();
    private static final Set<Socket> AT_WORK = ConcurrentHashMap.newKeySet();
    private static Record record;
    private static volatile long drainingSince;
    private static volatile long startedAt;

    private PagedList() {}

    public static void main(String[] args) throws Exception {
        record = new Record(Path.of(args[0], "record.txt"));
        Store store = new Store();
        store.put("config", "main", Site.state(1, Site.route("licence", "unsafe", "portal", 1_500, 300)));
        Server leaving = new Server((head, in, socket) -> serve("i-0000", head, in, socket));
        Server staying = new Server((head, in, socket) -> serve("i-0001", head, in, socket));
        store.put("servers", "i-0000", Site.registration("portal", leaving.address(), "ready", null, 1));
        store.put("servers", "i-0001", Site.registration("portal", staying.address(), "ready", null, 1));
        for (int i = 0; i < OTHER_SERVERS; i++) {
            // Servers of a service to which no route leads.
            store.put("servers", String.format("i-1%03d", i), Site.registration("llm", "127.0.0.1:9", "ready", "decode", 1));
        }
        Entry entry = new Entry("front-1", Path.of(args[1]), store.address(), Map.of("first_start", "false")).start();
        startedAt = System.nanoTime();
        if (!entry.awaitReady(30_000)) {
            record.add("the entry did not become ready");
            System.exit(2);
        }
        ask(entry, "before", 1_000);
        UNKNOWN.set(0);
        CountDownLatch left = new CountDownLatch(1);
        Runnable leave = () -> {
            store.put("servers", "i-0000", Site.registration("portal", leaving.address(), "draining", null, 2));
            drainingSince = System.nanoTime();
            record.add("i-0000 is draining; the store has acknowledged that");
            left.countDown();
        };
        if (TROUBLE) {
            record.add("the entry gets SIGTERM");
            entry.signal("TERM");
            while (entry.alive()) {
                Thread.sleep(20);
            }
            store.afterFirstPage(() -> {
                store.afterFirstPage(() -> {});
                record.add("the entry has got the first page of the list of the servers");
                leave.run();
            });
            store.onLastPage(() -> record.add("the entry asks for the last page"));
            record.add("the entry is started again");
            startedAt = System.nanoTime();
            entry.start();
            if (!left.await(20, TimeUnit.SECONDS) || !entry.awaitReady(20_000)) {
                record.add("the entry did not come back");
                System.exit(2);
            }
        } else {
            leave.run();
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            String name = "after-" + i;
            Thread client = new Thread(() -> ask(entry, name, SERVES_MILLIS + 2_000));
            client.start();
            clients.add(client);
        }
        Thread.sleep(SERVES_MILLIS);
        leaving.close();
        for (Socket socket : AT_WORK) {
            Server.reset(socket);
        }
        store.delete("servers", "i-0000");
        record.add("i-0000 exits");
        for (Thread client : clients) {
            client.join();
        }
        record.add(
                "DRAIN: %d requests reached the server later than %d ms after the ack, sent on by an entry in touch;"
                        + " %d unsafe requests have an unknown outcome",
                LATE.get(), DRAIN_MILLIS, UNKNOWN.get());
        System.exit(LATE.get() > 0 ? 1 : 0);
    }

    private static void ask(Entry entry, String name, long millis) {
        long until = System.nanoTime() + millis * 1_000_000;
        for (int i = 1; System.nanoTime() < until; i++) {
            String id = name + "-" + i;
            Caller.Outcome got = Caller.ask(entry, "POST", "/licence/1", id, 3_000);
            record.add("client sends %s, unsafe, and gets %d from %s", id, got.status(), got.signature());
            if (got.status() == 502 || got.status() == 0) {
                UNKNOWN.incrementAndGet();
            }
            Engine.rest(20);
        }
    }

    private static void serve(String server, Http.Head head, InputStream in, Socket socket) throws IOException {
        Http.body(head, in);
        String id = head.header("X-Request-Id");
        if (!head.header("X-Expected-Instance").equals(server)) {
            socket.getOutputStream().write(Http.answer(421, "", "X-Request-Id: " + id, "X-Not-Executed: 1"));
            return;
        }
        long now = System.nanoTime();
        long sinceMillis = drainingSince == 0 || !server.equals("i-0000") ? -1 : (now - drainingSince) / 1_000_000;
        boolean inTouch = (now - startedAt) / 1_000_000 > STABLE_WINDOW_MILLIS + 100;
        record.add(
                "%s runs %s%s", server, id, sinceMillis < 0 ? "" : ", " + sinceMillis + " ms after the ack that it is draining");
        if (sinceMillis > DRAIN_MILLIS && inTouch) {
            LATE.incrementAndGet();
        }
        if (server.equals("i-0000")) {
            AT_WORK.add(socket);
        }
        Engine.rest(200);
        AT_WORK.remove(socket);
        socket.getOutputStream()
                .write(Http.answer(200, "done", "X-Request-Id: " + id, "X-Server-Signature: " + server + "." + id));
    }
}
