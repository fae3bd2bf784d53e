package org.quetzalseam.daemon.caller;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.quetzalseam.core.attempt.Outcome;
import org.quetzalseam.core.catalogue.Catalogue;
import org.quetzalseam.core.catalogue.EntrySpec;
import org.quetzalseam.core.catalogue.OwnerSpec;
import org.quetzalseam.core.catalogue.ServiceSpec;
import org.quetzalseam.daemon.entry.EntryRouter;
import org.quetzalseam.daemon.entry.RequestId;
import org.quetzalseam.daemon.entry.ServiceRequest;
import org.quetzalseam.daemon.entry.ServiceResult;
import org.quetzalseam.daemon.http.ServerExchange;
import org.quetzalseam.daemon.operator.Metrics;
import org.quetzalseam.daemon.service.HttpServiceClient;
import org.quetzalseam.wire.message.Answer;

/** Handles requests below {@code /services/}. Thread-safe. */
final class ServiceHandler {
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final Set<String> NOT_FORWARDED_HEADERS =
            Set.of("authorization", "idempotency-key", "x-request-deadline-ms");

    private final RequestAdmission admittance;
    private final BodyReader bodies;
    private final EntryRouter router;
    private final Metrics metrics;

    ServiceHandler(RequestAdmission admittance, BodyReader bodies, EntryRouter router, Metrics metrics) {
        this.admittance = admittance;
        this.bodies = bodies;
        this.router = router;
        this.metrics = metrics;
    }

    void call(ServerExchange exchange, RequestId id) throws IOException {
        long arrived = System.nanoTime();
        ServiceRequest request = admit(exchange, id);
        try {
            ServiceResult result = router.run(request);
            record(request.entry(), result, Duration.ofNanos(System.nanoTime() - arrived));
            write(exchange, result);
        } finally {
            admittance.release(request.entry());
        }
    }

    private ServiceRequest admit(ServerExchange exchange, RequestId id) throws IOException {
        try {
            ServiceRequest request = request(exchange, id, admittance.owner(exchange));
            admittance.admit(request.entry());
            return request;
        } catch (CallerException e) {
            throw CallerServer.header(exchange, "Idempotency-Key") == null ? e : e.forKeyedRequest();
        }
    }

    private ServiceRequest request(ServerExchange exchange, RequestId id, OwnerSpec owner) throws IOException {
        String rest = exchange.uri().toString().substring("/services/".length());
        int end = rest.indexOf('/') >= 0 ? rest.indexOf('/') : endOfName(rest);
        String name = rest.substring(0, end);
        String path = rest.substring(end).startsWith("/") ? rest.substring(end) : "/" + rest.substring(end);
        Catalogue catalogue = admittance.catalogue();
        ServiceSpec service = catalogue.services().get(name);
        if (service == null) {
            throw admittance.notInCatalogue(Statuses.NOT_FOUND, "unknown-service", "there is no service of this name");
        }
        String method = exchange.method().toUpperCase(Locale.ROOT);
        EntrySpec entry = catalogue
                .serviceEntry(owner.name(), name, method)
                .orElseThrow(() -> admittance.notInCatalogue(
                        Statuses.FORBIDDEN,
                        "no-entry",
                        "the owner has no catalogue entry for this service and method"));
        return new ServiceRequest(
                id,
                entry,
                service,
                owner.weight(),
                method,
                path,
                headers(exchange, id),
                bodies.read(exchange),
                admittance.idempotencyKey(exchange),
                deadlineMillis(exchange));
    }

    /** Returns the deadline of a call that has been read, in milliseconds; a stopping entry begins none that may outlast it. */
    private long deadlineMillis(ServerExchange exchange) {
        long millis = admittance.deadlineMillis(exchange, DEFAULT_DEADLINE_MILLIS);
        admittance.checkEndsInTime(exchange, millis);
        return millis;
    }

    private static int endOfName(String rest) {
        int query = rest.indexOf('?');
        return query >= 0 ? query : rest.length();
    }

    private static Map<String, String> headers(ServerExchange exchange, RequestId id) {
        Map<String, String> headers = new HashMap<>();
        for (String name : exchange.requestHeaders().names()) {
            if (HttpServiceClient.isForwarded(name) && !NOT_FORWARDED_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                headers.put(
                        name.toLowerCase(Locale.ROOT),
                        String.join(", ", exchange.requestHeaders().getAll(name)));
            }
        }
        headers.put("x-request-id", id.toString());
        return headers;
    }

    private void record(EntrySpec entry, ServiceResult result, Duration time) {
        Outcome outcome = result.result().outcome();
        boolean answered = outcome == Outcome.ANSWERED;
        boolean good = answered && time.toMillis() <= entry.targets().firstOutputMillis();
        metrics.outcome(entry.owner(), entry.workClass(), outcome, good);
        if (answered) {
            metrics.firstOutput(entry.owner(), entry.workClass(), time);
        } else {
            metrics.refusal(result.result().code());
        }
    }

    private static void write(ServerExchange exchange, ServiceResult result) throws IOException {
        Answer answer = result.answer().orElseThrow(() -> CallerException.of(result.result()));
        answer.headers().forEach((name, value) -> exchange.responseHeaders().set(name, value));
        boolean empty = answer.status() == NO_CONTENT
                || answer.status() == NOT_MODIFIED
                || exchange.method().equals("HEAD")
                || answer.body().length == 0;
        exchange.begin(answer.status(), empty ? ServerExchange.NO_BODY : answer.body().length);
        if (!empty) {
            exchange.responseBody().write(answer.body());
        }
    }
}
