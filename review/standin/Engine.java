import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;

/** A model server with a stage, as PROTOCOL.md has it: reads prompts one after the other, or streams events. */
class Engine {
    private static final double TOKENS_PER_MILLI = 55.5556;
    private static final int EVENTS = 70;
    private static final int EVENT_MILLIS = 15;
    private static final AtomicLong HANDLES = new AtomicLong(System.nanoTime());

    private final Store store;
    private final Record record;
    private final String id;
    private final Server server;
    private final Set<Socket> streaming = ConcurrentHashMap.newKeySet();
    private final ReentrantLock reading = new ReentrantLock(true);
    private volatile String stage;
    private volatile String state = "ready";
    private volatile double slowness = 1;
    private volatile int running;
    private volatile long drainingSince;
    private volatile boolean stateLength = true;
    private int sequence;
    private int orders;

    Engine(Store store, Record record, String id, String stage) throws IOException {
        this.store = store;
        this.record = record;
        this.id = id;
        this.stage = stage;
        this.server = new Server(this::handle);
        register();
    }

    String id() {
        return id;
    }

    /** Sets how many times as long the work takes. */
    void slow(double factor) {
        slowness = factor;
    }

    private synchronized void register() {
        store.put("servers", id, Site.registration("llm", server.address(), state, stage, ++sequence));
    }

    /** Has its streams end with their channels, without a length. */
    Engine withoutLength() {
        stateLength = false;
        return this;
    }

    /** Crashes: resets all channels and refuses new ones. Its entry in the store stays until it lapses. */
    void crash() throws IOException {
        server.close();
        server.resetAll();
        record.add("%s crashes", id);
    }

    /** Removes its entry from the store, as the store does after some time without a sign of life. */
    void lapse() {
        store.delete("servers", id);
    }

    /** Reports to the store that it is draining; it serves on. */
    void drain() {
        state = "draining";
        register();
        drainingSince = System.nanoTime();
        record.add("%s is draining; the store has acknowledged that", id);
    }

    /** Exits: removes its entry, accepts nothing more and cuts off what runs. Returns how many streams it has cut off. */
    int exit() throws IOException {
        store.delete("servers", id);
        server.close();
        int cut = streaming.size();
        for (Socket socket : streaming) {
            Server.reset(socket);
        }
        record.add("%s exits and cuts off %d streams", id, cut);
        return cut;
    }

    /** Called when a request arrives that is to run; {@code sinceMillis} is the time since the ack of the draining, or -1. */
    void arrived(String request, long sinceMillis) {}

    private long sinceDrainingMillis() {
        return drainingSince == 0 ? -1 : (System.nanoTime() - drainingSince) / 1_000_000;
    }

    private void handle(Http.Head head, InputStream in, Socket socket) throws IOException {
        byte[] body = Http.body(head, in);
        String expected = head.header("X-Expected-Instance");
        String echo = "X-Request-Id: " + head.header("X-Request-Id");
        OutputStream out = socket.getOutputStream();
        if (!expected.isEmpty() && !expected.equals(id)) {
            out.write(Http.answer(421, "", echo, "X-Not-Executed: 1"));
        } else if (head.target().startsWith("/-/")) {
            out.write(control(head, body));
        } else if (head.header("X-Serving-Stage").equals("prefill")) {
            prefill(head, echo, out);
        } else {
            streaming.add(socket);
            try {
                stream(head, echo, out, socket);
            } finally {
                streaming.remove(socket);
            }
        }
    }

    private byte[] control(Http.Head head, byte[] body) throws IOException {
        ObjectNode answer = Store.JSON.createObjectNode();
        if (head.target().equals("/-/hold-take")) {
            answer.put("hold", Long.toHexString(HANDLES.incrementAndGet()));
        } else if (head.target().equals("/-/report")) {
            answer.put("stage", stage).put("busy", false).put("sequence", orders);
            answer.put("queued_requests", 0).put("active_requests", running);
            answer.put("kv_used", 4_000 * running).put("kv_total", 97_920).put("kv_handles", 0);
        } else if (head.target().equals("/-/order")) {
            return order(Store.JSON.readTree(body));
        }
        return Http.answer(200, answer.toString(), "Content-Type: application/json");
    }

    private synchronized byte[] order(JsonNode order) {
        record.add("%s gets an order: %s", id, order);
        if (order.path("expected").asInt() != orders) {
            return Http.answer(409, "{}");
        }
        orders++;
        stage = order.path("stage").asText();
        register();
        return Http.answer(202, "{}");
    }

    private void prefill(Http.Head head, String echo, OutputStream out) throws IOException {
        int tokens = Integer.parseInt(head.header("X-Token-Counts").split(",", -1)[0]);
        reading.lock();
        try {
            rest(Math.round(tokens / TOKENS_PER_MILLI * slowness));
        } finally {
            reading.unlock();
        }
        String handle = Long.toHexString(HANDLES.incrementAndGet());
        String body = "{\"kv_handle\":\"" + handle + "\",\"tokens\":" + tokens + ",\"version\":1}";
        out.write(Http.answer(200, body, echo, "Content-Type: application/json"));
    }

    private void stream(Http.Head head, String echo, OutputStream out, Socket socket) throws IOException {
        String request = head.header("X-Request-Id");
        arrived(request, sinceDrainingMillis());
        running++;
        try {
            String start = "HTTP/1.1 200 OK\r\n" + echo + "\r\nX-Server-Signature: " + id + "." + request
                    + "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                    + (stateLength ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n");
            out.write(start.getBytes(StandardCharsets.ISO_8859_1));
            for (int i = 1; i <= EVENTS; i++) {
                String event = "id: " + i + "\ndata: " + request + " " + i + "\n\n";
                String chunk = stateLength ? Integer.toHexString(event.length()) + "\r\n" + event + "\r\n" : event;
                out.write(chunk.getBytes(StandardCharsets.UTF_8));
                out.flush();
                rest(EVENT_MILLIS);
            }
            if (stateLength) {
                out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            } else {
                socket.shutdownOutput();
                rest(20);
                socket.close();
            }
        } finally {
            running--;
        }
    }

    static void rest(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
