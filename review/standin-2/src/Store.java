import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in for the platform's store, as PROTOCOL.md describes it. */
final class Store {
    private static final int PAGE_BYTES = 1_000_000;
    private static final int PAGE_OBJECTS = 500;

    record Item(String kind, String name, long created, long revision, String spec, boolean deleted) {
        String json() {
            return "{\"metadata\":{\"name\":" + Json.write(name) + ",\"revision\":" + revision
                    + ",\"create_revision\":" + created + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec
                    + ",\"status\":{}}";
        }
    }

    /** What to do with a call: answer it, close its channel unread, or carry it out and close its channel unanswered. */
    enum Action {
        ANSWER,
        DECLINE,
        CUT,
        LOSE
    }

    /** Decides about a call. */
    interface Trouble {
        Action decide(String method, String kind, String query, int peerPort);
    }

    final ServerSocket listener;
    volatile Trouble trouble = (method, kind, query, port) -> Action.ANSWER;
    private final Map<String, TreeMap<String, Item>> kinds = new HashMap<>();
    private final List<Item> history = new ArrayList<>();
    private long revision = 5;
    private final Map<Socket, String> waiting = new ConcurrentHashMap<>();

    Store() throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.start("store", this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            Threads.start("store-call", () -> serve(socket));
        }
    }

    /** Writes an object as the operator or a server does. Returns its revision. */
    synchronized long put(String kind, String name, String spec) {
        TreeMap<String, Item> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
        Item before = objects.get(name);
        long now = ++revision;
        Item item = new Item(kind, name, before == null ? now : before.created(), now, spec, false);
        objects.put(name, item);
        history.add(item);
        notifyAll();
        return now;
    }

    synchronized void remove(String kind, String name) {
        Item before = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (before != null) {
            history.add(new Item(kind, name, before.created(), ++revision, before.spec(), true));
            notifyAll();
        }
    }

    /** Cuts off the watches of a kind that wait now. Returns how many. */
    int cutWatches(String kind) {
        int cut = 0;
        for (Map.Entry<Socket, String> entry : waiting.entrySet()) {
            if (entry.getValue().equals(kind)) {
                close(entry.getKey());
                cut++;
            }
        }
        return cut;
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed either way.
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                String[] target = call.first[1].split("\\?", 2);
                String[] path = target[0].split("/");
                String kind = path[3];
                String name = path.length > 4 ? path[4] : null;
                Map<String, String> query = query(target.length > 1 ? target[1] : "");
                Action action =
                        trouble.decide(call.first[0], kind, target.length > 1 ? target[1] : "", socket.getPort());
                if (action == Action.CUT) {
                    return;
                }
                String answer = action == Action.DECLINE
                        ? "503 Service Unavailable\n{}"
                        : answer(call.first[0], kind, name, query, call.text(), socket);
                if (action == Action.LOSE) {
                    return;
                }
                String[] parts = answer.split("\n", 2);
                byte[] body = Http.bytes(parts[1]);
                out.write(Http.bytes("HTTP/1.1 " + parts[0] + "\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length + "\r\n\r\n"));
                out.write(body);
                out.flush();
            }
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String part : text.split("&")) {
            String[] pair = part.split("=", 2);
            if (pair.length == 2) {
                query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private String answer(
            String method, String kind, String name, Map<String, String> query, String body, Socket socket) {
        if (method.equals("GET") && query.containsKey("watch")) {
            return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.get("wait_ms")), socket);
        }
        synchronized (this) {
            TreeMap<String, Item> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
            if (method.equals("GET")) {
                return name == null ? list(objects, query.getOrDefault("after", "")) : one(objects.get(name));
            }
            Map<String, Object> call = body.isEmpty() ? Map.of() : Json.object(body);
            @SuppressWarnings("unchecked")
            Map<String, Object> metadata = (Map<String, Object>) call.getOrDefault("metadata", Map.of());
            String spec = Json.write(call.get("spec"));
            if (method.equals("POST")) {
                String created = (String) metadata.get("name");
                if (objects.containsKey(created)) {
                    return "409 Conflict\n" + objects.get(created).json();
                }
                put(kind, created, spec);
                return "201 Created\n" + objects.get(created).json();
            }
            Item before = objects.get(name);
            if (before == null) {
                return "404 Not Found\n{}";
            }
            Object expected = metadata.get("revision");
            if (expected instanceof Double number && number.longValue() != before.revision()) {
                return "409 Conflict\n" + before.json();
            }
            if (method.equals("PUT")) {
                if (!spec.equals(before.spec())) {
                    put(kind, name, spec);
                }
                return "200 OK\n" + objects.get(name).json();
            }
            remove(kind, name);
            return "200 OK\n{}";
        }
    }

    private static String one(Item item) {
        return item == null ? "404 Not Found\n{}" : "200 OK\n" + item.json();
    }

    private String list(TreeMap<String, Item> objects, String after) {
        StringBuilder items = new StringBuilder();
        boolean more = false;
        int count = 0;
        for (Item item : objects.tailMap(after, false).values()) {
            if (count == PAGE_OBJECTS || items.length() > PAGE_BYTES) {
                more = true;
                break;
            }
            items.append(count++ == 0 ? "" : ",").append(item.json());
        }
        return "200 OK\n{\"items\":[" + items + "],\"has_more\":" + more + ",\"as_of\":" + revision + "}";
    }

    private String watch(String kind, long from, long waitMillis, Socket socket) {
        long until = System.nanoTime() + waitMillis * 1_000_000;
        waiting.put(socket, kind);
        try {
            synchronized (this) {
                while (true) {
                    StringBuilder events = new StringBuilder();
                    long asOf = revision;
                    for (Item item : history) {
                        if (item.revision() > from && item.kind().equals(kind)) {
                            if (events.length() > PAGE_BYTES) {
                                break;
                            }
                            events.append(events.length() == 0 ? "" : ",")
                                    .append("{\"object\":")
                                    .append(item.json())
                                    .append(",\"deleted\":")
                                    .append(item.deleted())
                                    .append("}");
                            asOf = events.length() > PAGE_BYTES ? item.revision() : revision;
                        }
                    }
                    long left = (until - System.nanoTime()) / 1_000_000;
                    if (events.length() > 0 || left <= 0) {
                        return "200 OK\n{\"events\":[" + events + "],\"as_of\":" + asOf + "}";
                    }
                    wait(left);
                }
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        } finally {
            waiting.remove(socket);
        }
    }
}
