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
 * Sends requests as callers do, once each, and checks that every answer belongs to its request, is complete and is in
 * order. Thread-safe; {@code send} blocks.
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

    /** State and outcome of one attempt. Mutable; used by one thread. */
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
     * Sends a request and waits for the end of its answer.
     *
     * @param planned the request
     * @param entryUrl base URL of an entry
     * @param intended scheduled arrival time, in nanoseconds of {@link System#nanoTime()}
     * @param runId prefix that distinguishes the ids of this run from those of other runs
     * @param hangUpAfter number of outputs after which the caller disconnects, or -1 if it does not
     */
    public Sample send(PlannedRequest planned, String entryUrl, long intended, String runId, int hangUpAfter) {
        return send(planned, entryUrl, intended, runId, hangUpAfter, Uuid7.next(runId + planned.number()));
    }

    /** Sends a request with the given idempotency key, which is ignored unless the traffic is keyed. */
    public Sample send(
            PlannedRequest planned, String entryUrl, long intended, String runId, int hangUpAfter, String key) {
        Attempt attempt = new Attempt(intended);
        String businessId = runId + "-" + planned.number();
        boolean model = planned.traffic().route().kind() == Route.Kind.MODEL;
        try {
            if (model) {
                sendCompletion(planned, entryUrl, businessId, attempt, hangUpAfter);
            } else {
                callService(planned, entryUrl, businessId, key, attempt);
            }
        } catch (IOException e) {
            attempt.code = "connection";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return attempt.sample(planned, businessId);
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

    private void sendCompletion(
            PlannedRequest planned, String entryUrl, String businessId, Attempt attempt, int hangUpAfter)
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
        attempt.status = response.statusCode();
        try (InputStream in = response.body()) {
            if (response.statusCode() != OK) {
                recordRefusal(response, in.readAllBytes(), attempt);
                return;
            }
            BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
            readStream(lines, Integer.toHexString(prompt.hashCode()), planned.outputTokens(), attempt, hangUpAfter);
        }
    }

    private static void readStream(BufferedReader lines, String hash, int expected, Attempt attempt, int hangUpAfter)
            throws IOException {
        String line = lines.readLine();
        while (line != null) {
            if (hangUpAfter >= 0 && attempt.outputs >= hangUpAfter) {
                attempt.outcome = CallerOutcome.HUNG_UP;
                return;
            }
            if (line.equals(DATA + "[DONE]")) {
                attempt.outcome = attempt.outputs == expected ? CallerOutcome.ANSWERED : CallerOutcome.WRONG;
                return;
            }
            if (line.startsWith(DATA) && !acceptEvent(line.substring(DATA.length()), hash, attempt)) {
                return;
            }
            line = lines.readLine();
        }
    }

    private static boolean acceptEvent(String data, String hash, Attempt attempt) throws IOException {
        JsonNode node = Json.read(data.getBytes(StandardCharsets.UTF_8));
        if (node.has("error")) {
            recordError(node, attempt);
            return false;
        }
        String text = node.path("choices").path(0).path("text").asText().strip();
        if (text.isEmpty()) {
            return true;
        }
        if (!text.equals(hash + ":" + attempt.outputs)) {
            attempt.outcome = CallerOutcome.WRONG;
            return false;
        }
        attempt.output();
        return true;
    }

    private static void recordRefusal(HttpResponse<?> response, byte[] body, Attempt attempt) throws IOException {
        attempt.retryAfter = response.headers().firstValue("Retry-After").isPresent();
        recordError(Json.read(body), attempt);
    }

    private static void recordError(JsonNode node, Attempt attempt) {
        JsonNode error = node.path("error");
        attempt.code = error.path("code").asText();
        attempt.outcome = switch (error.path("outcome").asText()) {
            case "not-run" -> CallerOutcome.NOT_RUN;
            case "incomplete" -> CallerOutcome.INCOMPLETE;
            default -> CallerOutcome.UNKNOWN;
        };
    }

    /** Returns whether a success is the answer to a request; one that can't be read is not. */
    private static boolean belongsTo(String businessId, byte[] body) {
        try {
            return Json.read(body).path("id").asText().equals(businessId);
        } catch (IOException e) {
            return false;
        }
    }

    private void callService(PlannedRequest planned, String entryUrl, String businessId, String key, Attempt attempt)
            throws IOException, InterruptedException {
        String path = "/services/" + planned.traffic().route().name() + "/lots/" + planned.number();
        HttpRequest.Builder builder = request(planned, entryUrl + path)
                .header("X-Business-Id", businessId)
                .method(planned.traffic().method(), BodyPublishers.ofString("{}"));
        if (planned.traffic().keyed()) {
            builder.header("Idempotency-Key", key);
        }
        HttpResponse<byte[]> response = client.send(builder.build(), BodyHandlers.ofByteArray());
        attempt.status = response.statusCode();
        if (response.statusCode() != OK) {
            recordRefusal(response, response.body(), attempt);
            return;
        }
        attempt.outcome = belongsTo(businessId, response.body()) ? CallerOutcome.ANSWERED : CallerOutcome.WRONG;
        attempt.output();
    }
}
