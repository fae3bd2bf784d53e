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
final class PrefillRun {
    /** The least time between two looks at a silent engine, in milliseconds: a few of its steps. */
    private static final long MIN_CHECK_INTERVAL_MILLIS = 50;
    /** Engines that are asked for one request. */
    private static final int MAX_ENGINES = 2;

    /** Looks at a silent engine in the time after which it may be taken for dead. */
    private static final int CHECKS_PER_SILENCE_LIMIT = 4;
    /** Why a prompt isn't begun. */
    static final String NOT_BEGUN_REASON = "the engines have no time to read the prompt now";

    /** How long before its caller leaves a prompt that isn't read is given up, in milliseconds, so that the refusal still arrives. */
    private static final double REFUSAL_LEAD_MILLIS = 200;
    /** The same, at most, as a part of the time that the caller had left. */
    private static final double MAX_REFUSAL_LEAD_SHARE = 0.1;

    private static final int MAX_REPLY_BYTES = 64 * 1024;

    /** What becomes of the reading. */
    interface Listener {
        /** The prompt's KV cache lies at the engine under the handle. */
        void prefilled(Endpoint reader, String handle);

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
    private final FirstEventDeadline deadline;
    private final PrefillEngines engines;
    private final String service;
    private final int promptTokens;
    private final RunLog log;
    private final Listener listener;
    private final Set<Endpoint> tried = new HashSet<>();
    private ReadingPool<Endpoint>.@Nullable Reading prefill;
    private @Nullable EndpointCall call;
    private @Nullable Subscription checkTimer;
    private @Nullable Subscription giveUpTimer;

    PrefillRun(
            RunContext context,
            Exchange exchange,
            ForwardedRequest forwarded,
            FirstEventDeadline deadline,
            String service,
            int promptTokens,
            RunLog log,
            Listener listener) {
        this.context = context;
        this.exchange = exchange;
        this.deadline = deadline;
        this.engines = context.bookings(service).prefillEngines();
        this.forwarded = forwarded;
        this.service = service;
        this.promptTokens = promptTokens;
        this.log = log;
        this.listener = listener;
    }

    /** Asks the engine that is predicted to have read the prompt first, one near the decode engine among equals. */
    void start(Endpoint decoder) {
        Optional<Endpoint> chosen =
                engines.best(promptTokens, tried, decoder.member().zone());
        if (chosen.isEmpty()) {
            listener.noEngine();
            return;
        }
        Endpoint engine = chosen.get();
        ReadingPool.Due remaining = deadline.remaining();
        ReadingPool.Verdict verdict = engines.judge(engine, promptTokens, remaining);
        if (verdict != ReadingPool.Verdict.BEGIN) {
            refuseOrPostpone(engine, verdict, remaining);
            return;
        }
        send(engine, decoder, engines.begin(engine, promptTokens, remaining));
    }

    /** Another engine's part of a prompt may have been read already, so only an untouched one can wait for its turn again. */
    private void refuseOrPostpone(Endpoint engine, ReadingPool.Verdict verdict, ReadingPool.Due remaining) {
        boolean untouched = tried.isEmpty() && verdict != ReadingPool.Verdict.CALLER_LEAVES_SOONER;
        if (untouched) {
            listener.notBegun();
            return;
        }
        log.prefillNotBegun(engine, verdict, engines.describeInputs(engine, promptTokens, remaining));
        listener.failed(NOT_BEGUN_REASON);
    }

    private void send(Endpoint engine, Endpoint decoder, ReadingPool<Endpoint>.Reading newPrefill) {
        tried.add(engine);
        prefill = newPrefill;
        long sentAt = context.now();
        WholeReply reply = new WholeReply(
                MAX_REPLY_BYTES,
                (answer, body) -> answered(engine, decoder, answer, body, sentAt),
                failure -> failed(engine, decoder, failure));
        EndpointCall newCall = engine.send(
                forwarded.head(Forwarding.prefill(engine.member().id(), forwarded.remainingMillis())),
                exchange.body(),
                exchange.facts().id(),
                reply);
        call = newCall;
        scheduleCheck(Math.round(newPrefill.silenceMillis()), newCall, engine, decoder, newPrefill);
        double remainingMillis = deadline.remaining().leftMillis();
        long giveUpAfterMillis =
                Math.round(remainingMillis - Math.min(REFUSAL_LEAD_MILLIS, MAX_REFUSAL_LEAD_SHARE * remainingMillis));
        giveUpTimer = context.after(Math.max(0, giveUpAfterMillis), () -> giveUp(newCall, engine));
    }

    /** Nothing has run so far, so the caller may ask elsewhere. */
    private void giveUp(EndpointCall prefillCall, Endpoint engine) {
        if (!prefillCall.active()) {
            return;
        }
        prefillCall.cancel();
        end();
        engine.health().failed(context.now());
        log.callFailed(
                "prefill",
                engine,
                new CallFailure(CallFailure.Kind.TIMED_OUT, "the caller leaves before the prompt is read"));
        listener.failed("the prompt isn't read in time");
    }

    private void scheduleCheck(
            long millis,
            EndpointCall prefillCall,
            Endpoint engine,
            Endpoint decoder,
            ReadingPool<Endpoint>.Reading checkedPrefill) {
        checkTimer = context.after(Math.max(MIN_CHECK_INTERVAL_MILLIS, millis), () -> {
            if (!prefillCall.active()) {
                return;
            }
            if (tried.size() < MAX_ENGINES && engines.isLost(checkedPrefill, engine)) {
                prefillCall.cancel();
                failed(engine, decoder, new CallFailure(CallFailure.Kind.TIMED_OUT, "silent, while others read"));
            } else {
                scheduleCheck(
                        Math.round(checkedPrefill.silenceMillis() / CHECKS_PER_SILENCE_LIMIT),
                        prefillCall,
                        engine,
                        decoder,
                        checkedPrefill);
            }
        });
    }

    private void answered(Endpoint engine, Endpoint decoder, HttpResponse answer, ByteBuf body, long sentAt) {
        ReadingPool<Endpoint>.Reading answeredPrefill = prefill;
        String text = WholeReply.text(body);
        body.release();
        // A handle of an ended life may be another prompt's in the next.
        Optional<String> handle = answer.status().code() == 200 && !engine.ended()
                ? context.protocol().kvHandle(text)
                : Optional.empty();
        double millis = (context.now() - sentAt) / 1e6;
        if (handle.isPresent() && answeredPrefill != null) {
            answeredPrefill.read(context.now(), millis, deadline.remaining().objectiveMillis());
        }
        end();
        if (handle.isEmpty()) {
            engine.work().turnedAway(context.now());
            log.step(
                    "prefill-refused",
                    engine,
                    "status=" + answer.status().code() + " " + context.describeBudget(service));
            retryElsewhere(decoder);
            return;
        }
        engine.work().taken();
        engine.health().succeeded(context.now(), millis);
        long predicted = answeredPrefill == null ? 0 : Math.round(answeredPrefill.predictedMillis());
        log.step("prefilled", engine, "took_ms=" + Math.round(millis) + " predicted_ms=" + predicted);
        listener.prefilled(engine, handle.get());
    }

    private void failed(Endpoint engine, Endpoint decoder, CallFailure failure) {
        end();
        engine.health().failed(context.now());
        log.callFailed("prefill", engine, failure);
        retryElsewhere(decoder);
    }

    private void retryElsewhere(Endpoint decoder) {
        if (tried.size() < MAX_ENGINES && context.acquireRetry(service)) {
            start(decoder);
            return;
        }
        listener.failed("the prompt can't be read");
    }

    /** Gives the reading up, if it is still under way. */
    void cancel() {
        EndpointCall currentCall = call;
        if (currentCall != null && currentCall.active()) {
            currentCall.cancel();
        }
        end();
    }

    private void end() {
        cancel(checkTimer);
        cancel(giveUpTimer);
        ReadingPool<Endpoint>.Reading currentPrefill = prefill;
        if (currentPrefill != null) {
            currentPrefill.ended();
            prefill = null;
        }
    }

    private static void cancel(@Nullable Subscription subscription) {
        if (subscription != null) {
            subscription.cancel();
        }
    }
}
