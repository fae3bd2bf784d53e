import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * One entry before two services. The desired state grows by many routes; with trouble, desired states then come in quick succession
 * several times. At the end the operator moves a route to the other service.
 */
final class ManyVersions {
    private static final int BIG_CONFIGS = 4;
    private static final int ROUTES_MORE = 350;
    private static final int STORMS = 8;
    private static final int CHANGES_PER_STORM = 25;
    private static final long CHANGE_GAP_MILLIS = 80;
    private static final long STORM_PAUSE_MILLIS = 2_000;
    private static final long CALM_MILLIS = 5_000;
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final long WATCHED_MILLIS = 15_000;
    private static final int CLIENTS = 5;

    private ManyVersions() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !args[1].equals("0");
        Record record = new Record(Path.of(args[0]).resolve("record.txt"));
        Path temporary = Files.createTempDirectory("review");
        Store store = new Store();
        Map<String, String> runs = new ConcurrentHashMap<>();
        for (String service : List.of("portal", "portal-b")) {
            PlainServer server = new PlainServer("i-" + service, service, 6, 24, 86, (at, request) -> {
                runs.put(request.header("X-Request-Id"), at.service);
                record.line("server %s of %s runs %s", at.id, at.service, request.header("X-Request-Id"));
            });
            store.put("servers", server.id, server.registration("ready"));
        }
        Config config = new Config()
                .service("portal")
                .service("portal-b")
                .route("licence-check", "/lohu930/", "portal", "unsafe", 1, 3_000, 386);
        long version = 3;
        store.put("config", "main", config.spec(version));
        Entry entry = new Entry(temporary, "front-1", store.address(), true, "");
        entry.start();
        if (!entry.awaitReady(15_000)) {
            record.end(2, "CAN'T RUN: the entry isn't ready after 15 s");
        }
        record.line("the entry is ready");
        Queue<Sent> sent = new ConcurrentLinkedQueue<>();
        boolean[] ended = new boolean[1];
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Threads.start("client", () -> {
                Client client = new Client(entry.callers);
                while (!ended[0]) {
                    long at = record.millis();
                    Client.Result result = client.send("POST", "/lohu930/2f", new byte[600], false, 3_000, "");
                    sent.add(new Sent(at, result));
                    record.line(
                            "client request %s, sent at %.3f: %s",
                            result.id,
                            at / 1e3,
                            result.status == 0 ? "no answer " + result.detail : "answered " + result.status);
                    Threads.sleep(400);
                }
                client.close();
            }));
        }
        int routes = 0;
        for (int i = 0; i < BIG_CONFIGS; i++) {
            Threads.sleep(1_000);
            for (int added = 0; added < ROUTES_MORE; added++) {
                config.route("more-" + routes, "/more" + routes++ + "/", "portal", "safe", 2, 3_000, 386);
            }
            store.put("config", "main", config.spec(++version));
            record.line("big_config: version %d with %d routes, %d bytes", version, routes + 1, config.spec(version).length());
        }
        for (int storm = 0; trouble && storm < STORMS; storm++) {
            for (int change = 0; change < CHANGES_PER_STORM; change++) {
                config.route("more-" + routes, "/more" + routes++ + "/", "portal", "safe", 2, 3_000, 386);
                store.put("config", "main", config.spec(++version));
                Threads.sleep(CHANGE_GAP_MILLIS);
            }
            record.line("config_storm %d: up to version %d", storm + 1, version);
            Threads.sleep(STORM_PAUSE_MILLIS);
        }
        Threads.sleep(CALM_MILLIS);
        config.removeRoute("licence-check");
        config.route("licence-check", "/lohu930/", "portal-b", "unsafe", 1, 3_000, 386);
        store.put("config", "main", config.spec(++version));
        long ackedAt = record.millis();
        record.line("config_change: version %d moves the route to portal-b; acknowledged", version);
        Threads.sleep(CONFIG_APPLY_MILLIS + WATCHED_MILLIS);
        ended[0] = true;
        for (Thread client : clients) {
            client.join(10_000);
        }
        boolean alive = entry.alive();
        int late = 0;
        int old = 0;
        for (Sent request : sent) {
            if (request.at() > ackedAt + CONFIG_APPLY_MILLIS) {
                late++;
                if ("portal".equals(runs.get(request.result().id))) {
                    old++;
                    record.line("OLD %s: sent %d ms after the ack, run by portal", request.result().id, request.at() - ackedAt);
                }
            }
        }
        String log = Files.readString(entry.log());
        int last = log.lastIndexOf("event=desired-state version=");
        String known = last < 0 ? "none" : log.substring(last, log.indexOf(' ', last + 22));
        entry.kill();
        record.end(
                old > 0 ? 1 : 0,
                String.format(
                        "%s: of %d requests sent later than %d ms after the ack of version %d, %d were run by the old service;"
                                + " the entry's newest: %s; its process %s; lines of its log with OutOfMemoryError: %d",
                        old > 0 ? "BROKEN CONFIG" : "HELD",
                        late,
                        CONFIG_APPLY_MILLIS,
                        version,
                        old,
                        known,
                        alive ? "runs" : "has ended",
                        log.split("OutOfMemoryError", -1).length - 1));
    }

    private record Sent(long at, Client.Result result) {}
}
