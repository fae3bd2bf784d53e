import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One entry before the four servers of a plain service. Clients upload bodies, each at 6 Mbit/s, with a length or in chunks, and
 * others send small requests. With trouble, there are 2.2 times as many clients of both sorts for four seconds.
 */
final class Uploads {
    private static final int SMALL_CLIENTS = 20;
    private static final long PAUSE_MILLIS = 21;
    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int DEADLINE_MILLIS = 3_000;
    private static final int UPLOAD_TIMEOUT_MILLIS = 14_000;
    private static final long STILL_MILLIS = 500;
    private static final int FEWEST = 8;
    private static final double BURST = 2.2;
    private static final long BURST_MILLIS = 4_000;
    private static final long BURST_AT_MILLIS = 8_000;
    private static final long END_MILLIS = 24_000;

    private Uploads() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !args[1].equals("0");
        boolean chunked = args[2].equals("chunked");
        int usualUploaders = Integer.parseInt(args[3]);
        int bodyBytes = Integer.parseInt(args[4]);
        Record record = new Record(Path.of(args[0]).resolve("record.txt"));
        Path temporary = Files.createTempDirectory("review");
        Store store = new Store();
        Map<String, String> runs = new ConcurrentHashMap<>();
        for (int i = 1; i <= 4; i++) {
            PlainServer server = new PlainServer("i-portal-" + i, "portal", 6, 24, 86, (at, request) -> {
                runs.put(request.header("X-Request-Id"), at.id);
                record.line("server %s runs %s, body %d bytes", at.id, request.header("X-Request-Id"), request.body.length);
            });
            store.put("servers", server.id, server.registration("ready"));
        }
        Config config = new Config()
                .service("portal")
                .route("licence-check", "/lohu930/", "portal", "unsafe", 1, TIMEOUT_MILLIS, 386)
                .route("upload", "/pule252/", "portal", "unsafe", 1, UPLOAD_TIMEOUT_MILLIS, 386);
        store.put("config", "main", config.spec(3));
        Entry entry = new Entry(temporary, "front-1", store.address(), true, "");
        entry.start();
        if (!entry.awaitReady(15_000)) {
            record.end(2, "CAN'T RUN: the entry isn't ready after 15 s");
        }
        record.line("the entry is ready");
        long startedAt = record.millis();
        AtomicInteger ends = new AtomicInteger();
        Threads.start("platform", () -> {
            while (record.millis() < startedAt + END_MILLIS) {
                Thread.sleep(50);
                if (!entry.alive()) {
                    record.line("the entry's process has ended by itself, end %d", ends.incrementAndGet());
                    Thread.sleep(1_000);
                    entry.start();
                    record.line("the entry is started again");
                }
            }
        });
        Queue<Sent> results = new ConcurrentLinkedQueue<>();
        List<Thread> clients = new ArrayList<>();
        int usual = SMALL_CLIENTS + usualUploaders;
        int all = trouble ? (int) (BURST * usual) : usual;
        for (int i = 0; i < all; i++) {
            boolean comesLate = i >= usual;
            boolean small = i % usual < SMALL_CLIENTS;
            byte[] body = new byte[small ? 600 : bodyBytes];
            int number = i;
            clients.add(Threads.start("client", () -> {
                Client client = new Client(entry.callers, small ? 0 : PAUSE_MILLIS);
                long from = startedAt + (comesLate ? BURST_AT_MILLIS : 0) + number % 20 * 20L;
                long until = startedAt + (comesLate ? BURST_AT_MILLIS + BURST_MILLIS : END_MILLIS);
                Threads.sleep(from - record.millis());
                while (record.millis() < until) {
                    Client.Result result = small
                            ? client.send("POST", "/lohu930/2f", body, false, DEADLINE_MILLIS, "")
                            : client.send("POST", "/pule252/2f", body, chunked, UPLOAD_TIMEOUT_MILLIS, "");
                    results.add(new Sent(result, small ? TIMEOUT_MILLIS : UPLOAD_TIMEOUT_MILLIS));
                    record.line(
                            "client %d request %s (%d bytes%s) %s",
                            number,
                            result.id,
                            body.length,
                            result.kept ? ", kept channel" : "",
                            result.gaveUp
                                    ? "no answer at the deadline"
                                    : result.closed
                                    ? "channel closed, no answer " + result.detail
                                    : "answered " + result.status + " " + result.signature);
                    if (small) {
                        Threads.sleep(200);
                    } else if (result.closed || result.status != 200) {
                        Threads.sleep(300);
                    }
                }
                client.close();
            }));
        }
        for (Thread client : clients) {
            client.join(60_000);
        }
        entry.kill();
        int answered = 0;
        int refused = 0;
        int closed = 0;
        int lost = 0;
        int overdue = 0;
        int silent = 0;
        for (Sent request : results) {
            Client.Result result = request.result();
            answered += result.status == 200 ? 1 : 0;
            refused += result.status == 503 ? 1 : 0;
            closed += result.closed ? 1 : 0;
            overdue += result.tookMillis > request.timeoutMillis() ? 1 : 0;
            silent += result.tookMillis > request.timeoutMillis() + STILL_MILLIS ? 1 : 0;
            boolean passedOn = runs.containsKey(result.id);
            if (result.closed && result.kept && passedOn) {
                lost++;
                record.line("LOST %s: from a kept channel, run by %s, never answered", result.id, runs.get(result.id));
            }
        }
        String log = Files.readString(entry.log());
        String counts = String.format(
                "%d requests: %d answered 200, %d refused 503, %d closed without an answer; unanswered at the route's timeout: %d, of these still 0.5 s later: %d; lost (kept channel, passed on, closed): %d;"
                        + " ends of the entry's process by itself: %d; lines of its log with OutOfMemoryError: %d",
                results.size(), answered, refused, closed, overdue, silent, lost, ends.get(), log.split("OutOfMemoryError", -1).length - 1);
        boolean broken = overdue >= FEWEST && 2 * silent > overdue;
        record.end(broken ? 1 : 0, (broken ? "BROKEN CONFIG: " : "HELD: ") + counts);
    }

    private record Sent(Client.Result result, int timeoutMillis) {}
}
