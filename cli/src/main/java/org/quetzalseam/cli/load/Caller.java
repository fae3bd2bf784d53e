package org.quetzalseam.cli.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.quetzalseam.cli.site.Deployment;
import org.quetzalseam.core.catalogue.Route;
import org.quetzalseam.daemon.Json;

/**
 * Sends requests as callers do, once each, and checks every answer: that it is the request's own, whole, and in order.
 * Thread-safe; {@link #send} blocks.
 */
public final class Caller {
    private static final Duration TIMEOUT = Duration.ofMinutes(2);
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int CHARS_PER_TOKEN = 4;
    private static final int OK = 200;
    private static final String DATA = "data: ";

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();

    /** What one try brought. Mutable; used by one thread. */
    private static final class Attempt {
        final long intended;
        long first;
        long last;
        int outputs;
        CallerOutcome outcome = CallerOutcome.CUT_OFF;
        String code = "";
        int status;
        boolean retryAfter;

        Attempt(long intended) {
            this.intended = intended;
        }

        void output() {
            last = System.nanoTime();
            if (outputs == 0) {
                first = last;
            }
            outputs++;
        }

        Sample sample(PlannedRequest planned, String businessId) {
            double firstMillis = outputs == 0 ? -1 : (first - intended) / NANOS_PER_MILLI;
            double steady = outputs < 2 ? 0 : (last - first) / NANOS_PER_MILLI / (outputs - 1);
            return new Sample(
                    planned.traffic(),
                    planned.owner(),
                    businessId,
                    outcome,
                    code,
                    status,
                    retryAfter,
                    firstMillis,
                    steady,
                    1);
        }
    }

    /**
     * Sends a request.
     *
     * @param planned the request
     * @param entryUrl address of an entry
     * @param intended when it was to arrive, in nanoseconds of the monotonic clock
     * @param runId makes ids of this run differ from those of others
     * @param hangUpAfter outputs after which the caller hangs up, or -1
     */
    public Sample send(PlannedRequest planned, String entryUrl, long intended, String runId, int hangUpAfter) {
        return send(planned, entryUrl, intended, runId, hangUpAfter, Uuid7.next(runId + planned.number()));
    }

    /** Sends a request with a given idempotency key, which counts only for requests that are to have one. */
    public Sample send(
            PlannedRequest planned, String entryUrl, long intended, String runId, int hangUpAfter, String key) {
        Attempt current = new Attempt(intended);
        String businessId = runId + "-" + planned.number();
        boolean model = planned.traffic().route().kind() == Route.Kind.MODEL;
        try {
            if (model) {
                complete(planned, entryUrl, businessId, current, hangUpAfter);
            } else {
                call(planned, entryUrl, businessId, key, current);
            }
        } catch (IOException e) {
            current.code = "connection";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return current.sample(planned, businessId);
    }

    private static HttpRequest.Builder request(PlannedRequest planned, String url) {
        return HttpRequest.newBuilder(URI.create(url))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + Deployment.token(planned.owner()));
    }

    private static String prompt(String businessId, int tokens) {
        int length = tokens * CHARS_PER_TOKEN;
        String words = "dossier " + businessId + " ";
        return words.repeat(length / words.length() + 1).substring(0, Math.max(length, words.length()));
    }

    private void complete(PlannedRequest planned, String entryUrl, String businessId, Attempt current, int hangUpAfter)
            throws IOException, InterruptedException {
        String prompt = prompt(businessId, planned.promptTokens());
        ObjectNode body = Json.object()
                .put("model", planned.traffic().route().name())
                .put("prompt", prompt)
                .put("max_tokens", planned.outputTokens())
                .put("stream", true);
        HttpRequest post = request(planned, entryUrl + "/v1/completions")
                .POST(BodyPublishers.ofByteArray(Json.write(body)))
                .build();
        HttpResponse<InputStream> response = client.send(post, BodyHandlers.ofInputStream());
        current.status = response.statusCode();
        try (InputStream in = response.body()) {
            if (response.statusCode() != OK) {
                refused(response, in.readAllBytes(), current);
                return;
            }
            BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
            stream(lines, Integer.toHexString(prompt.hashCode()), planned.outputTokens(), current, hangUpAfter);
        }
    }

    private static void stream(BufferedReader lines, String hash, int expected, Attempt current, int hangUpAfter)
            throws IOException {
        String line = lines.readLine();
        while (line != null) {
            if (hangUpAfter >= 0 && current.outputs >= hangUpAfter) {
                current.outcome = CallerOutcome.HUNG_UP;
                return;
            }
            if (line.equals(DATA + "[DONE]")) {
                current.outcome = current.outputs == expected ? CallerOutcome.ANSWERED : CallerOutcome.WRONG;
                return;
            }
            if (line.startsWith(DATA) && !event(line.substring(DATA.length()), hash, current)) {
                return;
            }
            line = lines.readLine();
        }
    }

    private static boolean event(String data, String hash, Attempt current) throws IOException {
        JsonNode node = Json.read(data.getBytes(StandardCharsets.UTF_8));
        if (node.has("error")) {
            error(node, current);
            return false;
        }
        String text = node.path("choices").path(0).path("text").asText().strip();
        if (text.isEmpty()) {
            return true;
        }
        if (!text.equals(hash + ":" + current.outputs)) {
            current.outcome = CallerOutcome.WRONG;
            return false;
        }
        current.output();
        return true;
    }

    private static void refused(HttpResponse<?> response, byte[] body, Attempt current) throws IOException {
        current.retryAfter = response.headers().firstValue("Retry-After").isPresent();
        error(Json.read(body), current);
    }

    private static void error(JsonNode node, Attempt current) {
        JsonNode error = node.path("error");
        current.code = error.path("code").asText();
        current.outcome = switch (error.path("outcome").asText()) {
            case "not-run" -> CallerOutcome.NOT_RUN;
            case "incomplete" -> CallerOutcome.INCOMPLETE;
            default -> CallerOutcome.UNKNOWN;
        };
    }

    private void call(PlannedRequest planned, String entryUrl, String businessId, String key, Attempt current)
            throws IOException, InterruptedException {
        String path = "/services/" + planned.traffic().route().name() + "/lots/" + planned.number();
        HttpRequest.Builder builder = request(planned, entryUrl + path)
                .header("X-Business-Id", businessId)
                .method(planned.traffic().method(), BodyPublishers.ofString("{}"));
        if (planned.traffic().keyed()) {
            builder.header("Idempotency-Key", key);
        }
        HttpResponse<byte[]> response = client.send(builder.build(), BodyHandlers.ofByteArray());
        current.status = response.statusCode();
        if (response.statusCode() != OK) {
            refused(response, response.body(), current);
            return;
        }
        boolean own = Json.read(response.body()).path("id").asText().equals(businessId);
        current.outcome = own ? CallerOutcome.ANSWERED : CallerOutcome.WRONG;
        current.output();
    }
}
