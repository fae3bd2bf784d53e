import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: lists, watches, reads and conditional writes, as PROTOCOL.md has them. */
final class Store {
    static final ObjectMapper JSON = new ObjectMapper();

    /** Most objects in a page of a list: "about 500 or 1 MB at most". */
    private static final int LARGEST_PAGE = 500;

    private record Change(long revision, String kind, ObjectNode object, boolean deleted) {}

    private final Server server;
    private final int pageObjects;
    private final long answerMillis;
    private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 10;

    Store() throws IOException {
        this(LARGEST_PAGE, 0);
    }

    /** Creates a store whose lists have pages of a given size, and whose answers take a given time. */
    Store(int pageObjects, long answerMillis) throws IOException {
        this.pageObjects = pageObjects;
        this.answerMillis = answerMillis;
        server = new Server(this::handle);
    }

    String address() {
        return server.address();
    }

    /** Writes an object; the return is the ack. */
    synchronized void put(String kind, String name, ObjectNode spec) {
        ObjectNode object = JSON.createObjectNode();
        ObjectNode before = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        revision++;
        object.putObject("metadata")
                .put("name", name)
                .put("revision", revision)
                .put("create_revision", before == null ? revision : before.at("/metadata/create_revision").asLong())
                .put("deleting", false)
                .putArray("finalizers");
        object.set("spec", spec);
        object.putObject("status");
        kinds.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, object);
        history.add(new Change(revision, kind, object, false));
        notifyAll();
    }

    /** Removes an object; the return is the ack. */
    synchronized void delete(String kind, String name) {
        ObjectNode removed = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (removed != null) {
            revision++;
            history.add(new Change(revision, kind, removed, true));
            notifyAll();
        }
    }

    synchronized int size(String kind) {
        return kinds.getOrDefault(kind, new TreeMap<>()).size();
    }

    private void handle(Http.Head head, InputStream in, Socket socket) throws IOException {
        byte[] body = Http.body(head, in);
        String[] target = head.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&", -1)) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
            }
        }
        String[] path = target[0].substring("/-/objects/".length()).split("/", -1);
        String name = path.length > 1 ? URLDecoder.decode(path[1], StandardCharsets.UTF_8) : "";
        if (answerMillis > 0) {
            Engine.rest(answerMillis);
        }
        socket.getOutputStream().write(answer(head.method(), path[0], name, query, body));
    }

    private static byte[] reply(int status, JsonNode body) {
        return Http.answer(status, body.toString(), "Content-Type: application/json");
    }

    private synchronized byte[] answer(
            String method, String kind, String name, Map<String, String> query, byte[] body) throws IOException {
        TreeMap<String, ObjectNode> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
        if (method.equals("GET") && query.containsKey("watch")) {
            return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
        }
        if (method.equals("GET") && name.isEmpty()) {
            ObjectNode page = JSON.createObjectNode();
            ArrayNode items = page.putArray("items");
            var left = objects.tailMap(query.getOrDefault("after", ""), false).values();
            left.stream().limit(pageObjects).forEach(items::add);
            boolean more = left.size() > pageObjects;
            return reply(200, page.put("has_more", more).put("as_of", revision));
        }
        ObjectNode known = objects.get(name);
        if (method.equals("GET")) {
            return known == null ? reply(404, JSON.createObjectNode()) : reply(200, known);
        }
        JsonNode sent = body.length == 0 ? JSON.createObjectNode() : JSON.readTree(body);
        if (method.equals("POST")) {
            String created = sent.at("/metadata/name").asText();
            if (objects.containsKey(created)) {
                return reply(409, objects.get(created));
            }
            put(kind, created, (ObjectNode) sent.path("spec"));
            return reply(201, objects.get(created));
        }
        if (known == null) {
            return reply(404, JSON.createObjectNode());
        }
        JsonNode condition = sent.at("/metadata/revision");
        if (condition.isNumber() && condition.asLong() != known.at("/metadata/revision").asLong()) {
            return reply(409, known);
        }
        if (method.equals("DELETE")) {
            delete(kind, name);
            return reply(200, known);
        }
        put(kind, name, (ObjectNode) sent.path("spec"));
        return reply(200, objects.get(name));
    }

    private synchronized byte[] watch(String kind, long from, long waitMillis) {
        long until = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            ObjectNode page = JSON.createObjectNode();
            ArrayNode events = page.putArray("events");
            for (Change change : history) {
                if (change.revision() > from && change.kind().equals(kind)) {
                    ObjectNode event = events.addObject().put("deleted", change.deleted());
                    event.set("object", change.object());
                }
            }
            long leftMillis = (until - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMillis <= 0) {
                return reply(200, page.put("as_of", revision));
            }
            try {
                wait(leftMillis);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
