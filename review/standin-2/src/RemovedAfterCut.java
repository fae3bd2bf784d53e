import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * One entry before six servers of a service. Two of them leave shortly after each other without reporting that they drain: their
 * entries are removed, and they serve for a little longer than the drain time. With trouble, the watch of the servers that waits has
 * been cut off a second before.
 */
final class RemovedAfterCut {
    private static final int SERVERS = 6;
    private static final int CLIENTS = 30;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long SERVED_LONGER_MILLIS = 120;
    private static final long CUT_BEFORE_MILLIS = 1_000;
    private static final long APART_MILLIS = 20;
    private static final int ROUNDS = 2;

    private RemovedAfterCut() {}

    private record Run(String server, String id, long at) {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !args[1].equals("0");
        Record record = new Record(Path.of(args[0]).resolve("record.txt"));
        Path temporary = Files.createTempDirectory("review");
        Store store = new Store();
        Queue<Run> runs = new ConcurrentLinkedQueue<>();
        Set<String> answered = ConcurrentHashMap.newKeySet();
        Map<String, Long> removedAt = new ConcurrentHashMap<>();
        List<PlainServer> servers = new ArrayList<>();
        for (int i = 1; i <= SERVERS; i++) {
            PlainServer server = new PlainServer("i-portal-" + i, "portal", 6, 24, 86, (at, request) -> {
                runs.add(new Run(at.id, request.header("X-Request-Id"), record.millis()));
                record.line("server %s runs %s", at.id, request.header("X-Request-Id"));
            });
            servers.add(server);
            store.put("servers", server.id, server.registration("ready"));
        }
        Config config =
                new Config().service("portal").route("licence-check", "/lohu930/", "portal", "unsafe", 1, 3_000, 386);
        store.put("config", "main", config.spec(3));
        Entry entry = new Entry(temporary, "front-1", store.address(), true, "");
        entry.start();
        if (!entry.awaitReady(15_000)) {
            record.end(2, "CAN'T RUN: the entry isn't ready after 15 s");
        }
        record.line("the entry is ready");
        boolean[] ended = new boolean[1];
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Threads.start("client", () -> {
                Client client = new Client(entry.callers);
                while (!ended[0]) {
                    Client.Result result = client.send("POST", "/lohu930/2f", new byte[600], false, 3_000, "");
                    if (result.status == 200) {
                        answered.add(result.id);
                    }
                    record.line(
                            "client request %s: %s",
                            result.id,
                            result.status == 0 ? "no answer " + result.detail : "answered " + result.status);
                    Threads.sleep(20);
                }
                client.close();
            }));
        }
        Threads.sleep(6_000);
        for (int round = 0; round < ROUNDS; round++) {
            if (trouble) {
                int cut = store.cutWatches("servers");
                record.line("the store cuts off the watch of the servers that waits (%d)", cut);
            }
            Threads.sleep(CUT_BEFORE_MILLIS);
            List<PlainServer> leaving = servers.subList(2 * round, 2 * round + 2);
            for (PlainServer server : leaving) {
                store.remove("servers", server.id);
                removedAt.put(server.id, record.millis());
                record.line("the entry of server %s is removed; it serves on for %d ms", server.id, DRAIN_MILLIS + SERVED_LONGER_MILLIS);
                Threads.sleep(APART_MILLIS);
            }
            Threads.sleep(DRAIN_MILLIS + SERVED_LONGER_MILLIS);
            for (PlainServer server : leaving) {
                server.end();
                record.line("server %s exits", server.id);
            }
            Threads.sleep(4_000);
        }
        ended[0] = true;
        for (Thread client : clients) {
            client.join(10_000);
        }
        int late = 0;
        long latest = 0;
        int lost = 0;
        for (Run run : runs) {
            Long removed = removedAt.get(run.server());
            long after = removed == null ? 0 : run.at() - removed;
            if (after > DRAIN_MILLIS) {
                late++;
                latest = Math.max(latest, after);
                lost += answered.contains(run.id()) ? 0 : 1;
                record.line("LATE %s reaches server %s %d ms after its removal", run.id(), run.server(), after);
            }
        }
        record.end(
                late > 0 ? 1 : 0,
                String.format(
                        "%s: of %d runs, %d reached a server later than %d ms after its removal, the last one %d ms after it;"
                                + " %d of these were cut off when the server exited",
                        late > 0 ? "BROKEN DRAIN" : "HELD", runs.size(), late, DRAIN_MILLIS, latest, lost));
    }
}
