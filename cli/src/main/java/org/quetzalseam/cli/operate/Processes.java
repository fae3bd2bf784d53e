package org.quetzalseam.cli.operate;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.quetzalseam.daemon.Json;
import org.quetzalseam.daemon.platform.ObjectStore;
import org.quetzalseam.wire.message.Role;
import org.quetzalseam.wire.message.Vm;

/** Queries the processes of a site over their operator interfaces. Thread-safe. */
final class Processes {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int OK = 200;

    /**
     * A process on the platform's list and its status response. Immutable.
     *
     * @param vm the VM that the process runs on
     * @param status its response to {@code /status}, or empty if it gave none
     */
    record ProcessStatus(Vm vm, Optional<JsonNode> status) {
        /** Returns the version of the catalogue that the process runs or forwards, or empty if it did not respond. */
        Optional<Long> catalogue() {
            return status.map(node -> node.path("catalogue").asLong());
        }
    }

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(TIMEOUT).build();

    /** Returns all listed processes, including those that did not respond. */
    List<ProcessStatus> all(ObjectStore store) {
        return store.members(0, Duration.ZERO).vms().parallelStream()
                .map(this::fetchStatus)
                .toList();
    }

    /** Returns all listed entries, including those that did not respond. */
    List<ProcessStatus> entries(ObjectStore store) {
        return all(store).stream()
                .filter(process -> process.vm().role() == Role.ENTRY)
                .toList();
    }

    private ProcessStatus fetchStatus(Vm vm) {
        return new ProcessStatus(vm, fetch(vm, "/status"));
    }

    /** Returns the JSON response of a process to a GET request, or empty if the request failed or timed out. */
    Optional<JsonNode> fetch(Vm vm, String path) {
        URI uri = URI.create("http://" + vm.host() + ":" + vm.operatorPort() + path);
        try {
            HttpResponse<byte[]> response =
                    client.send(HttpRequest.newBuilder(uri).timeout(TIMEOUT).build(), BodyHandlers.ofByteArray());
            return response.statusCode() == OK ? Optional.of(Json.read(response.body())) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }
}
