package org.quetzalseam.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Simulates the platform: a store of objects with versions, conditional updates and watches, and a list of VMs. Faults can
 * be injected: an outage, delays, responses that are lost after the write took effect, and a restore from an older copy.
 * Thread-safe.
 */
public final class PlatformStandIn {
    private static final String OBJECTS_PATH = "/apis/quetzalseam/v1/objects/";
    private static final String VMS_PATH = "/apis/quetzalseam/v1/vms";
    private static final String ERA_HEADER = "Store-Era";

    /**
     * A VM on the platform's list.
     *
     * @param name its name
     * @param role {@code entry} or {@code endpoint}
     * @param zone its availability zone
     * @param pool pool of an endpoint, empty for entries
     * @param port port on which the entry accepts callers or the endpoint its peers
     * @param operatorPort port of the operator interface
     * @param leaving whether the VM is about to be removed
     */
    public record ListedVm(
            String name, String role, String zone, String pool, int port, int operatorPort, boolean leaving) {}

    private record Stored(long version, String data) {}

    /** A copy of the contents of the store at one moment. Immutable. */
    public static final class Copy {
        private final Map<String, Stored> objects;
        private final Map<String, byte[]> vms;
        private final long version;
        private final long vmsVersion;

        private Copy(PlatformStandIn store) {
            objects = Map.copyOf(store.objects);
            vms = new LinkedHashMap<>(store.vms);
            version = store.version;
            vmsVersion = store.vmsVersion;
        }
    }

    private final Object lock = new Object();
    private final Map<String, Stored> objects = new HashMap<>();
    /** Items of the list of VMs by name, as they are sent. */
    private final Map<String, byte[]> vms = new LinkedHashMap<>();

    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();
    private long version;
    private long vmsVersion;
    private long era;
    private boolean down;
    private long delayMillis;
    private int answersToLose;
    private final StandInServer server = new StandInServer(0, this::handle);

    /** Returns the store's base address. */
    public String url() {
        return server.url();
    }

    /** Adds a VM to the list or replaces it. */
    public void list(ListedVm vm) {
        listRaw(vm.name(), bytes(json(vm).toString()));
    }

    /** Adds an item to the list of VMs or replaces it, whatever its bytes are, as another writer may leave it. */
    public void listRaw(String name, byte[] item) {
        synchronized (lock) {
            vms.put(name, item);
            vmsVersion++;
            lock.notifyAll();
        }
    }

    /** Removes a VM from the list. */
    public void unlist(String name) {
        synchronized (lock) {
            if (vms.remove(name) != null) {
                vmsVersion++;
                lock.notifyAll();
            }
        }
    }

    /** Begins or ends an outage, during which every call fails with status 503. */
    public void down(boolean now) {
        synchronized (lock) {
            down = now;
            lock.notifyAll();
        }
    }

    /** Delays every call by a time in milliseconds. */
    public void slow(long millis) {
        synchronized (lock) {
            delayMillis = millis;
        }
    }

    /** Answers the next successful writes with status 504 after they took effect. */
    public void loseAnswers(int count) {
        synchronized (lock) {
            answersToLose = count;
        }
    }

    /** Returns the data of an object, or null when it does not exist. Tests use it to write back an older state. */
    public @Nullable String data(String name) {
        synchronized (lock) {
            Stored stored = objects.get(name);
            return stored == null ? null : stored.data();
        }
    }

    /** Overwrites an object unconditionally, as a restore from a backup does. */
    public void overwrite(String name, String data) {
        synchronized (lock) {
            objects.put(name, new Stored(++version, data));
            lock.notifyAll();
        }
    }

    /** Returns a copy of the contents of the store. */
    public Copy copy() {
        synchronized (lock) {
            return new Copy(this);
        }
    }

    /** Restores the store from a copy and raises the era. Later writes are lost, and their versions are assigned again. */
    public void restore(Copy copy) {
        synchronized (lock) {
            objects.clear();
            objects.putAll(copy.objects);
            vms.clear();
            vms.putAll(copy.vms);
            version = copy.version;
            vmsVersion = copy.vmsVersion;
            era++;
            lock.notifyAll();
        }
    }

    /** Sets the era in the response headers. The caller holds the lock under which it reads the content, so that both match. */
    private void setEraHeader(HttpExchange exchange) {
        exchange.getResponseHeaders().set(ERA_HEADER, Long.toString(era));
    }

    /** Returns the number of reads received; a watch counts as one. */
    public long reads() {
        return reads.get();
    }

    /** Returns the number of writes attempted. */
    public long writes() {
        return writes.get();
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (!isAvailableAfterDelay()) {
            StandInServer.answerEmpty(exchange, 503);
            return;
        }
        String path = exchange.getRequestURI().getPath();
        if (path.equals(VMS_PATH)) {
            watchVms(exchange);
        } else if (!path.startsWith(OBJECTS_PATH)) {
            StandInServer.answerEmpty(exchange, 404);
        } else if (exchange.getRequestMethod().equals("GET")) {
            get(exchange, path.substring(OBJECTS_PATH.length()));
        } else {
            write(exchange, path.substring(OBJECTS_PATH.length()), StandInServer.JSON.readTree(body));
        }
    }

    private boolean isAvailableAfterDelay() {
        long delay;
        synchronized (lock) {
            delay = delayMillis;
        }
        if (delay > 0) {
            Pause.millis(delay);
        }
        synchronized (lock) {
            return !down;
        }
    }

    private void get(HttpExchange exchange, String name) throws IOException {
        reads.incrementAndGet();
        Map<String, String> query = query(exchange);
        Stored stored;
        boolean available;
        synchronized (lock) {
            if (query.containsKey("watch")) {
                await(query, () -> {
                    Stored now = objects.get(name);
                    return now == null ? 0 : now.version();
                });
            }
            stored = objects.get(name);
            available = !down;
            setEraHeader(exchange);
        }
        boolean unchanged = query.containsKey("watch") && stored != null && stored.version() == requestedVersion(query);
        if (!available) {
            StandInServer.answerEmpty(exchange, 503);
        } else if (stored == null) {
            StandInServer.answerEmpty(exchange, 404);
        } else if (unchanged) {
            StandInServer.answerEmpty(exchange, 204);
        } else {
            StandInServer.answer(exchange, 200, json(name, stored));
        }
    }

    private static long requestedVersion(Map<String, String> query) {
        return Long.parseLong(query.getOrDefault("resourceVersion", "0"));
    }

    private interface Version {
        long current();
    }

    /** Waits, with the lock held, until the version differs from the requested one, the era changes, an outage begins or the time is over. */
    private void await(Map<String, String> query, Version current) {
        long end = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("timeoutMillis", "0")));
        long left = end - System.nanoTime();
        long before = era;
        while (current.current() == requestedVersion(query) && left > 0 && !down && era == before) {
            try {
                TimeUnit.NANOSECONDS.timedWait(lock, left);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            left = end - System.nanoTime();
        }
    }

    private void write(HttpExchange exchange, String name, JsonNode body) throws IOException {
        writes.incrementAndGet();
        boolean create = exchange.getRequestMethod().equals("POST");
        long expected =
                create ? 0 : body.path("metadata").path("resourceVersion").asLong();
        Stored written;
        boolean lost = false;
        synchronized (lock) {
            Stored old = objects.get(name);
            if ((old == null ? 0 : old.version()) != expected) {
                written = null;
            } else {
                written = new Stored(++version, body.path("data").asText());
                objects.put(name, written);
                lock.notifyAll();
                lost = answersToLose > 0;
                answersToLose -= lost ? 1 : 0;
            }
            setEraHeader(exchange);
        }
        if (lost) {
            StandInServer.answerEmpty(exchange, 504);
        } else if (written == null) {
            StandInServer.answerEmpty(exchange, 409);
        } else {
            StandInServer.answer(exchange, create ? 201 : 200, json(name, written));
        }
    }

    private static ObjectNode json(String name, Stored stored) {
        ObjectNode node = StandInServer.JSON.createObjectNode();
        node.putObject("metadata").put("name", name).put("resourceVersion", stored.version());
        node.put("data", stored.data());
        return node;
    }

    private void watchVms(HttpExchange exchange) throws IOException {
        reads.incrementAndGet();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean available;
        synchronized (lock) {
            await(query(exchange), () -> vmsVersion);
            available = !down;
            setEraHeader(exchange);
            body.writeBytes(bytes("{\"metadata\":{\"resourceVersion\":" + vmsVersion + "},\"items\":["));
            String separator = "";
            for (byte[] item : vms.values()) {
                body.writeBytes(bytes(separator));
                body.writeBytes(item);
                separator = ",";
            }
            body.writeBytes(bytes("]}"));
        }
        if (available) {
            StandInServer.answer(exchange, 200, body.toByteArray());
        } else {
            StandInServer.answerEmpty(exchange, 503);
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static ObjectNode json(ListedVm vm) {
        return StandInServer.JSON
                .createObjectNode()
                .put("name", vm.name())
                .put("role", vm.role())
                .put("zone", vm.zone())
                .put("pool", vm.pool())
                .put("host", "127.0.0.1")
                .put("port", vm.port())
                .put("operatorPort", vm.operatorPort())
                .put("state", vm.leaving() ? "leaving" : "live");
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getQuery();
        if (raw != null) {
            for (String pair : raw.split("&", -1)) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], parts.length > 1 ? parts[1] : "");
            }
        }
        return query;
    }

    /** Stops the server and ends waiting watches. */
    public void stop() {
        synchronized (lock) {
            down = true;
            lock.notifyAll();
        }
        server.stop();
    }
}
