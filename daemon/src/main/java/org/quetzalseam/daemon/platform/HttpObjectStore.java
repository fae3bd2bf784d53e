package org.quetzalseam.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalseam.core.store.JsonSplitter;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.core.store.UnreadableException;
import org.quetzalseam.daemon.Json;
import org.quetzalseam.daemon.http.BoundedBody;
import org.quetzalseam.daemon.http.OneCallClient;
import org.quetzalseam.daemon.platform.StoreException.Code;

/**
 * A client of the platform's store over HTTP and JSON: {@code GET}, {@code POST} and {@code PUT} of objects that carry a
 * {@code metadata.resourceVersion}, and a watch that returns when the version changes. A store restored from an older copy issues
 * the same resource versions again, so the versions that this class returns encode a {@link StorePosition}: era and revision. Thread-safe.
 */
public final class HttpObjectStore implements ObjectStore {
    /** How long a response may take beyond the wait that a call requests. */
    public static final Duration TIMEOUT = Duration.ofSeconds(3);

    /** Longest response, in bytes: a list of ten thousand VMs takes a third of it, the largest object a tenth. */
    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int SERVER_ERROR = 500;

    private final String base;
    private final OneCallClient client;
    private final StoreEraTracker era = new StoreEraTracker();
    private final VmItems vmItems = new VmItems();

    /** Creates a client of the store at a base address such as {@code http://10.0.0.5:8001}. */
    public HttpObjectStore(String base) {
        this.base = base;
        this.client = new OneCallClient(base);
    }

    private HttpRequest.Builder request(String path, Duration timeout) {
        return HttpRequest.newBuilder(URI.create(base + path)).timeout(timeout);
    }

    private String objectPath(String name) {
        return "/apis/quetzalseam/v1/objects/" + name;
    }

    private HttpResponse<byte[]> send(HttpRequest request) {
        try {
            HttpResponse<byte[]> response = client.send(request, BoundedBody.ofAtMost(MAX_RESPONSE_BYTES));
            boolean success = response.statusCode() < SERVER_ERROR;
            era.update(response.headers().firstValue(StoreEraTracker.HEADER), success);
            if (!success) {
                throw new StoreException(
                        Code.UNAVAILABLE, "the store responded with status " + response.statusCode(), null);
            }
            return response;
        } catch (IOException e) {
            throw new StoreException(Code.UNAVAILABLE, "no answer from the store: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new StoreException(Code.UNAVAILABLE, "interrupted", e);
        }
    }

    /** Returns the object that is the whole answer; data that can't be decoded is empty, which its reader finds unreadable. */
    private static StoredObject object(HttpResponse<byte[]> response) {
        Map<String, String> fields = fields(response);
        JsonNode metadata = json(fields, "metadata");
        return new StoredObject(
                metadata.path("name").asText(), version(response, metadata), data(fields.getOrDefault("data", "")));
    }

    private static byte[] data(String field) {
        try {
            return Json.read(field.getBytes(StandardCharsets.UTF_8)).binaryValue();
        } catch (IOException expected) {
            return new byte[0];
        }
    }

    /** Returns the version, which the store itself writes: without it, nothing shows how old the answer is. */
    private static long version(HttpResponse<byte[]> response, JsonNode metadata) {
        JsonNode revision = metadata.path("resourceVersion");
        if (!revision.isIntegralNumber()
                || !revision.canConvertToLong()
                || revision.longValue() < 0
                || revision.longValue() > StorePosition.MAX_REVISION) {
            throw new StoreException(Code.UNAVAILABLE, "the store's response has no valid resourceVersion", null);
        }
        return new StorePosition(StoreEraTracker.of(response), revision.longValue()).number();
    }

    /** Returns the raw texts of an answer's fields, so that one that can't be parsed does not affect the others. */
    private static Map<String, String> fields(HttpResponse<byte[]> response) {
        try {
            return JsonSplitter.fields(new String(response.body(), StandardCharsets.UTF_8));
        } catch (UnreadableException e) {
            throw new StoreException(Code.UNAVAILABLE, "the store's response is not JSON", e);
        }
    }

    private static JsonNode json(Map<String, String> fields, String name) {
        try {
            return Json.read(fields.getOrDefault(name, "").getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new StoreException(Code.UNAVAILABLE, "the store's response has no readable " + name, e);
        }
    }

    private static byte[] body(String name, byte[] value, long version) {
        ObjectNode node = Json.object();
        node.putObject("metadata").put("name", name).put("resourceVersion", version);
        node.put("data", Base64.getEncoder().encodeToString(value));
        return Json.write(node);
    }

    @Override
    public Optional<StoredObject> read(String name) {
        return found(send(request(objectPath(name), TIMEOUT).GET().build()));
    }

    private static Optional<StoredObject> found(HttpResponse<byte[]> response) {
        return switch (response.statusCode()) {
            case OK -> Optional.of(object(response));
            case NO_CONTENT, NOT_FOUND -> Optional.empty();
            default ->
                throw new StoreException(
                        Code.REFUSED, "the store responded with status " + response.statusCode(), null);
        };
    }

    @Override
    public StoredObject create(String name, byte[] value) {
        return written(send(request(objectPath(name), TIMEOUT)
                .POST(BodyPublishers.ofByteArray(body(name, value, 0)))
                .build()));
    }

    @Override
    public StoredObject replace(String name, byte[] value, long version) {
        StorePosition expected = StorePosition.ofNumber(version);
        if (expected.era() != era.newest()) {
            // In the new era the revision may belong to a later write by another process.
            throw new StoreException(Code.CONFLICT, "the store was restored from an older copy", null);
        }
        StoredObject written = written(send(request(objectPath(name), TIMEOUT)
                .PUT(BodyPublishers.ofByteArray(body(name, value, expected.revision())))
                .build()));
        if (StorePosition.ofNumber(written.version()).era() != expected.era()) {
            throw new StoreException(
                    Code.UNAVAILABLE, "the store was restored from an older copy during the write", null);
        }
        return written;
    }

    private static StoredObject written(HttpResponse<byte[]> response) {
        return switch (response.statusCode()) {
            case OK, CREATED -> object(response);
            case CONFLICT -> throw new StoreException(Code.CONFLICT, "the object has changed", null);
            default ->
                throw new StoreException(
                        Code.REFUSED, "the store responded with status " + response.statusCode(), null);
        };
    }

    private String watchQuery(long version, Duration wait) {
        StorePosition seen = StorePosition.ofNumber(version);
        long revision = seen.era() == era.newest() ? seen.revision() : 0;
        return "?watch=true&resourceVersion=" + revision + "&timeoutMillis=" + wait.toMillis();
    }

    @Override
    public Optional<StoredObject> watch(String name, long version, Duration wait) {
        HttpResponse<byte[]> response = send(request(objectPath(name) + watchQuery(version, wait), wait.plus(TIMEOUT))
                .GET()
                .build());
        if (response.statusCode() == NOT_FOUND && version != 0) {
            // The object existed, and the store answers without waiting: the failure makes the caller pause before it
            // retries.
            throw new StoreException(Code.REFUSED, "the object no longer exists", null);
        }
        return response.statusCode() == GONE ? read(name) : found(response);
    }

    @Override
    public MemberList members(long version, Duration wait) {
        HttpResponse<byte[]> response =
                send(request("/apis/quetzalseam/v1/vms" + watchQuery(version, wait), wait.plus(TIMEOUT))
                        .GET()
                        .build());
        if (response.statusCode() == GONE && version != 0) {
            return members(0, Duration.ZERO);
        }
        if (response.statusCode() != OK) {
            throw new StoreException(Code.REFUSED, "the store responded with status " + response.statusCode(), null);
        }
        Map<String, String> fields = fields(response);
        return new MemberList(version(response, json(fields, "metadata")), vmItems.read(items(fields)));
    }

    private static List<String> items(Map<String, String> fields) {
        try {
            return JsonSplitter.elements(fields.getOrDefault("items", ""));
        } catch (UnreadableException e) {
            throw new StoreException(Code.UNAVAILABLE, "the store's response has no list of items", e);
        }
    }

    @Override
    public long era() {
        return era.newest();
    }
}
