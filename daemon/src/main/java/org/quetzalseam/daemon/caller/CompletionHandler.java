package org.quetzalseam.daemon.caller;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import org.quetzalseam.core.attempt.Outcome;
import org.quetzalseam.core.catalogue.Catalogue;
import org.quetzalseam.core.catalogue.EntrySpec;
import org.quetzalseam.core.catalogue.ModelSpec;
import org.quetzalseam.core.catalogue.OwnerSpec;
import org.quetzalseam.core.placement.Rendezvous;
import org.quetzalseam.daemon.entry.CompletionRequest;
import org.quetzalseam.daemon.entry.EntryRouter;
import org.quetzalseam.daemon.entry.RequestId;
import org.quetzalseam.daemon.entry.RunResult;
import org.quetzalseam.daemon.http.ServerExchange;
import org.quetzalseam.daemon.operator.Metrics;

/** Handles requests for completions. Thread-safe. */
final class CompletionHandler {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int AFFINITY_CHARS = 1024;
    private static final long NO_DEADLINE_MILLIS = Duration.ofDays(1).toMillis();

    private final RequestAdmission admittance;
    private final BodyReader bodies;
    private final EntryRouter router;
    private final Metrics metrics;

    CompletionHandler(RequestAdmission admittance, BodyReader bodies, EntryRouter router, Metrics metrics) {
        this.admittance = admittance;
        this.bodies = bodies;
        this.router = router;
        this.metrics = metrics;
    }

    void plain(ServerExchange exchange, RequestId id) throws IOException {
        OwnerSpec owner = authenticate(exchange);
        answer(exchange, id, owner, Prompt.plain(bodies.read(exchange)), AnswerFormat.plain());
    }

    void chat(ServerExchange exchange, RequestId id) throws IOException {
        OwnerSpec owner = authenticate(exchange);
        answer(exchange, id, owner, Prompt.chat(bodies.read(exchange)), AnswerFormat.chat());
    }

    private OwnerSpec authenticate(ServerExchange exchange) {
        OwnerSpec owner = admittance.owner(exchange);
        if (!exchange.method().equals("POST")) {
            throw CallerException.notRetryable(Statuses.METHOD_NOT_ALLOWED, "bad-method", "expected POST");
        }
        return owner;
    }

    private void answer(ServerExchange exchange, RequestId id, OwnerSpec owner, Prompt prompt, AnswerFormat format) {
        long arrived = System.nanoTime();
        CompletionRequest request = request(exchange, id, owner, prompt);
        admittance.admit(request.entry());
        try {
            CallerAnswer answer = prompt.stream()
                    ? new StreamedAnswer(exchange, id, prompt.model(), format)
                    : new JsonAnswer(exchange, id, prompt.model(), format);
            TimingSink sink = new TimingSink(answer, arrived);
            RunResult result = router.run(request, sink);
            record(request.entry(), result, sink);
            if (result.outcome() != Outcome.ANSWERED && sink.timeToAdmission().isPresent()) {
                logger.atInfo().log(
                        "event=answer-not-whole request=%s code=%s outcome=%s outputs=%d message=\"%s\"",
                        id, result.code(), result.outcome().label(), result.outputs(), result.message());
            }
            answer.end(result);
        } finally {
            admittance.release(request.entry());
        }
    }

    private CompletionRequest request(ServerExchange exchange, RequestId id, OwnerSpec owner, Prompt prompt) {
        Catalogue catalogue = admittance.catalogue();
        ModelSpec model = catalogue.models().get(prompt.model());
        if (model == null) {
            throw admittance.notInCatalogue(Statuses.NOT_FOUND, "unknown-model", "there is no model of this name");
        }
        EntrySpec entry = catalogue
                .modelEntry(owner.name(), model.name(), prompt.tokens())
                .orElseThrow(() -> admittance.notInCatalogue(
                        Statuses.FORBIDDEN, "no-entry", "the owner has no catalogue entry for this model"));
        int maxTokens = entry.limits().promptTokens();
        if (prompt.tokens() > maxTokens) {
            throw CallerException.notRetryable(
                    Statuses.CONTENT_TOO_LARGE,
                    "prompt-too-long",
                    "the prompt is longer than " + maxTokens + " tokens");
        }
        int maxOutputTokens = entry.limits().outputTokens();
        if (prompt.maxTokens() > maxOutputTokens) {
            throw CallerException.notRetryable(
                    Statuses.BAD_REQUEST, "too-many-tokens", "max_tokens: expected at most " + maxOutputTokens);
        }
        int outputs = prompt.maxTokens() == 0 ? maxOutputTokens : prompt.maxTokens();
        String prefix = prompt.text()
                .substring(0, Math.min(AFFINITY_CHARS, prompt.text().length()));
        return new CompletionRequest(
                id,
                entry,
                model,
                owner.weight(),
                prompt.tokens(),
                outputs,
                Rendezvous.hash(prefix),
                deadlineMillis(exchange, entry, outputs),
                prompt.engineBody(outputs));
    }

    /**
     * Returns the deadline that the caller states, in milliseconds. A completion without one may take as long as the targets of its
     * catalogue entry allow; a stopping entry begins none that may outlast it.
     */
    private long deadlineMillis(ServerExchange exchange, EntrySpec entry, int outputs) {
        long millis = admittance.deadlineMillis(exchange, NO_DEADLINE_MILLIS);
        admittance.checkEndsInTime(
                exchange, millis == NO_DEADLINE_MILLIS ? entry.targets().durationMillis(outputs) : millis);
        return millis;
    }

    private void record(EntrySpec entry, RunResult result, TimingSink sink) {
        String owner = entry.owner();
        boolean good = result.outcome() == Outcome.ANSWERED && sink.meetsTargets(entry.targets());
        metrics.outcome(owner, entry.workClass(), result.outcome(), good);
        sink.timeToAdmission().ifPresent(wait -> metrics.queueWait(owner, entry.workClass(), wait));
        sink.timeToFirstOutput().ifPresent(time -> metrics.firstOutput(owner, entry.workClass(), time));
        sink.meanTimeBetweenOutputs().ifPresent(time -> metrics.steadyOutput(owner, entry.workClass(), time));
        if (result.outcome() != Outcome.ANSWERED) {
            metrics.refusal(result.code());
        }
    }
}
