package org.quetzalseam.gateway.route;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.endpoint.EndpointCall;
import org.quetzalseam.gateway.http.CallFailure;
import org.quetzalseam.gateway.http.WholeReply;
import org.quetzalseam.gateway.protocol.Forwarding;
import org.quetzalseam.gateway.runtime.Subscription;

/** The reading of one request's prompt at a prefill engine. Used on the event loop only. */
final class PromptReading {
    /** How long it may take before another engine is asked, in milliseconds: several prompts' reading. */
    private static final long LIMIT_MILLIS = 600;
    /** Engines that are asked for one request. */
    private static final int MAX_ENGINES = 2;

    private static final int MAX_REPLY_BYTES = 64 * 1024;

    /** What becomes of the reading. */
    interface Outcome {
        /** The prompt's KV cache lies at the engine under the handle. */
        void read(Endpoint reader, String handle);

        /** There is no prefill engine: the decode engine has to read the prompt. */
        void noEngine();

        /** The prompt couldn't be read. */
        void failed(String why);
    }

    private final RunContext context;
    private final Exchange exchange;
    private final ForwardedRequest forwarded;
    private final String service;
    private final int promptTokens;
    private final RunLog log;
    private final Outcome outcome;
    private final Set<Endpoint> tried = new HashSet<>();
    private @Nullable Endpoint reader;
    private @Nullable EndpointCall call;
    private @Nullable Subscription timer;

    PromptReading(
            RunContext context,
            Exchange exchange,
            ForwardedRequest forwarded,
            String service,
            int promptTokens,
            RunLog log,
            Outcome outcome) {
        this.context = context;
        this.exchange = exchange;
        this.forwarded = forwarded;
        this.service = service;
        this.promptTokens = promptTokens;
        this.log = log;
        this.outcome = outcome;
    }

    /** Asks the engine with the fewest prompt tokens of this entry, one near the decode engine among equals. */
    void start(Endpoint decoder) {
        long now = context.now();
        Optional<Endpoint> chosen = context.directory().usable(service, Stage.PREFILL).stream()
                .filter(endpoint -> !tried.contains(endpoint) && endpoint.reachable())
                .min(Comparator.<Endpoint, Boolean>comparing(
                                endpoint -> endpoint.health().suspect(now))
                        .thenComparingLong(Endpoint::prefillTokens)
                        .thenComparing(endpoint -> !endpoint.member()
                                .zone()
                                .equals(decoder.member().zone()))
                        .thenComparing(endpoint -> ThreadLocalRandom.current().nextInt()));
        if (chosen.isEmpty()) {
            outcome.noEngine();
            return;
        }
        ask(chosen.get(), decoder);
    }

    private void ask(Endpoint engine, Endpoint decoder) {
        tried.add(engine);
        reader = engine;
        engine.prefillTokens(promptTokens);
        long sentAt = context.now();
        WholeReply reply = new WholeReply(
                MAX_REPLY_BYTES,
                (answer, body) -> answered(engine, decoder, answer, body, sentAt),
                failure -> failed(engine, decoder, failure));
        EndpointCall asked = engine.send(
                forwarded.head(Forwarding.prefill(engine.member().id(), forwarded.leftMillis())),
                exchange.body(),
                exchange.facts().id(),
                reply);
        call = asked;
        timer = context.after(LIMIT_MILLIS, () -> {
            if (asked.active()) {
                asked.cancel();
                failed(engine, decoder, new CallFailure(CallFailure.Kind.TIMED_OUT, "the prompt wasn't read in time"));
            }
        });
    }

    private void answered(Endpoint engine, Endpoint decoder, HttpResponse answer, ByteBuf body, long sentAt) {
        end();
        String text = WholeReply.text(body);
        body.release();
        // A handle of an ended life may be another prompt's in the next.
        Optional<String> handle = answer.status().code() == 200 && !engine.ended()
                ? context.protocol().kvHandle(text)
                : Optional.empty();
        if (handle.isEmpty()) {
            log.step("prefill-refused", engine, "status=" + answer.status().code());
            askAnother(decoder);
            return;
        }
        double millis = (context.now() - sentAt) / 1e6;
        engine.health().succeeded(context.now(), millis);
        log.step("prefilled", engine, "took_ms=" + Math.round(millis));
        outcome.read(engine, handle.get());
    }

    private void failed(Endpoint engine, Endpoint decoder, CallFailure failure) {
        end();
        engine.health().failed(context.now());
        log.callFailed("prefill", engine, failure);
        askAnother(decoder);
    }

    private void askAnother(Endpoint decoder) {
        if (tried.size() < MAX_ENGINES && context.takeRetry(service)) {
            start(decoder);
            return;
        }
        outcome.failed("the prompt can't be read");
    }

    /** Gives the reading up, if it is still under way. */
    void cancel() {
        EndpointCall asked = call;
        if (asked != null && asked.active()) {
            asked.cancel();
        }
        end();
    }

    private void end() {
        Subscription limit = timer;
        if (limit != null) {
            limit.cancel();
        }
        Endpoint engine = reader;
        if (engine != null) {
            engine.prefillTokens(-promptTokens);
            reader = null;
        }
    }
}
