package org.quetzalseam.gateway.route;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.generation.ReadingPool;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.endpoint.EndpointCall;
import org.quetzalseam.gateway.http.CallFailure;
import org.quetzalseam.gateway.http.WholeReply;
import org.quetzalseam.gateway.protocol.Forwarding;
import org.quetzalseam.gateway.runtime.Subscription;

/** The reading of one request's prompt at a prefill engine. Used on the event loop only. */
final class PromptReading {
    /** The least time between two looks at a silent engine, in milliseconds: a few of its steps. */
    private static final long LOOK_MILLIS = 50;
    /** Engines that are asked for one request. */
    private static final int MAX_ENGINES = 2;

    /** Looks at a silent engine in the time after which it may be taken for dead. */
    private static final int LOOKS = 4;
    /** Why a prompt isn't begun. */
    static final String NOT_BEGUN = "the engines have no time to read the prompt now";

    /** How long before its caller leaves a prompt that isn't read is given up, in milliseconds, so that the refusal still arrives. */
    private static final double NOTICE_MILLIS = 200;
    /** The same, at most, as a part of the time that the caller had left. */
    private static final double NOTICE_SHARE = 0.1;

    private static final int MAX_REPLY_BYTES = 64 * 1024;

    /** What becomes of the reading. */
    interface Outcome {
        /** The prompt's KV cache lies at the engine under the handle. */
        void read(Endpoint reader, String handle);

        /** There is no prefill engine: the decode engine has to read the prompt. */
        void noEngine();

        /** The engines have no time for the prompt any more, and nothing has been sent. */
        void notBegun();

        /** The prompt couldn't be read. */
        void failed(String why);
    }

    private final RunContext context;
    private final Exchange exchange;
    private final ForwardedRequest forwarded;
    private final CallerDue due;
    private final PromptReaders readers;
    private final String service;
    private final int promptTokens;
    private final RunLog log;
    private final Outcome outcome;
    private final Set<Endpoint> tried = new HashSet<>();
    private ReadingPool<Endpoint>.@Nullable Reading reading;
    private @Nullable EndpointCall call;
    private @Nullable Subscription timer;
    private @Nullable Subscription callerLeaves;

    PromptReading(
            RunContext context,
            Exchange exchange,
            ForwardedRequest forwarded,
            CallerDue due,
            String service,
            int promptTokens,
            RunLog log,
            Outcome outcome) {
        this.context = context;
        this.exchange = exchange;
        this.due = due;
        this.readers = context.desk(service).readers();
        this.forwarded = forwarded;
        this.service = service;
        this.promptTokens = promptTokens;
        this.log = log;
        this.outcome = outcome;
    }

    /** Asks the engine that is predicted to have read the prompt first, one near the decode engine among equals. */
    void start(Endpoint decoder) {
        Optional<Endpoint> chosen =
                readers.best(promptTokens, tried, decoder.member().zone());
        if (chosen.isEmpty()) {
            outcome.noEngine();
            return;
        }
        Endpoint engine = chosen.get();
        ReadingPool.Due left = due.now();
        ReadingPool.Verdict verdict = readers.judge(engine, promptTokens, left);
        if (verdict != ReadingPool.Verdict.BEGIN) {
            postpone(engine, verdict, left);
            return;
        }
        ask(engine, decoder, readers.begin(engine, promptTokens, left));
    }

    /** Another engine's part of a prompt may have been read already, so only an untouched one can wait for its turn again. */
    private void postpone(Endpoint engine, ReadingPool.Verdict verdict, ReadingPool.Due left) {
        boolean untouched = tried.isEmpty() && verdict != ReadingPool.Verdict.CALLER_LEAVES_SOONER;
        if (untouched) {
            outcome.notBegun();
            return;
        }
        log.promptNotBegun(engine, verdict, readers.inputs(engine, promptTokens, left));
        outcome.failed(NOT_BEGUN);
    }

    private void ask(Endpoint engine, Endpoint decoder, ReadingPool<Endpoint>.Reading begun) {
        tried.add(engine);
        reading = begun;
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
        lookAfter(Math.round(begun.silenceMillis()), asked, engine, decoder, begun);
        double left = due.now().leftMillis();
        long until = Math.round(left - Math.min(NOTICE_MILLIS, NOTICE_SHARE * left));
        callerLeaves = context.after(Math.max(0, until), () -> giveUp(asked, engine));
    }

    /** Nothing has run so far, so the caller may ask elsewhere. */
    private void giveUp(EndpointCall asked, Endpoint engine) {
        if (!asked.active()) {
            return;
        }
        asked.cancel();
        end();
        engine.health().failed(context.now());
        log.callFailed(
                "prefill",
                engine,
                new CallFailure(CallFailure.Kind.TIMED_OUT, "the caller leaves before the prompt is read"));
        outcome.failed("the prompt isn't read in time");
    }

    private void lookAfter(
            long millis, EndpointCall asked, Endpoint engine, Endpoint decoder, ReadingPool<Endpoint>.Reading begun) {
        timer = context.after(Math.max(LOOK_MILLIS, millis), () -> {
            if (!asked.active()) {
                return;
            }
            if (tried.size() < MAX_ENGINES && readers.lost(begun, engine)) {
                asked.cancel();
                failed(engine, decoder, new CallFailure(CallFailure.Kind.TIMED_OUT, "silent, while others read"));
            } else {
                lookAfter(Math.round(begun.silenceMillis() / LOOKS), asked, engine, decoder, begun);
            }
        });
    }

    private void answered(Endpoint engine, Endpoint decoder, HttpResponse answer, ByteBuf body, long sentAt) {
        ReadingPool<Endpoint>.Reading begun = reading;
        String text = WholeReply.text(body);
        body.release();
        // A handle of an ended life may be another prompt's in the next.
        Optional<String> handle = answer.status().code() == 200 && !engine.ended()
                ? context.protocol().kvHandle(text)
                : Optional.empty();
        double millis = (context.now() - sentAt) / 1e6;
        if (handle.isPresent() && begun != null) {
            begun.read(context.now(), millis, due.now().objectiveMillis());
        }
        end();
        if (handle.isEmpty()) {
            engine.work().turnedAway(context.now());
            log.step("prefill-refused", engine, "status=" + answer.status().code() + " " + context.budget(service));
            askAnother(decoder);
            return;
        }
        engine.work().taken();
        engine.health().succeeded(context.now(), millis);
        long predicted = begun == null ? 0 : Math.round(begun.predictedMillis());
        log.step("prefilled", engine, "took_ms=" + Math.round(millis) + " predicted_ms=" + predicted);
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
        stop(timer);
        stop(callerLeaves);
        ReadingPool<Endpoint>.Reading begun = reading;
        if (begun != null) {
            begun.ended();
            reading = null;
        }
    }

    private static void stop(@Nullable Subscription subscription) {
        if (subscription != null) {
            subscription.cancel();
        }
    }
}
