package org.quetzalseam.gateway.route;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.generation.PrefillPlanner;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.endpoint.EndpointCall;
import org.quetzalseam.gateway.http.CallFailure;
import org.quetzalseam.gateway.http.ReplyCollector;
import org.quetzalseam.gateway.limit.EndpointLimits;
import org.quetzalseam.gateway.limit.PermitRequest;
import org.quetzalseam.gateway.protocol.Forwarding;
import org.quetzalseam.gateway.runtime.ScheduledCall;

/** Prefills one request's prompt at a prefill engine, at another one if the first fails. Used on the event loop only. */
final class PrefillRun {
    /** Minimum time between two checks of an unresponsive engine, in milliseconds: a few engine steps. */
    private static final long MIN_CHECK_INTERVAL_MILLIS = 50;
    /** Maximum number of engines that one request is sent to for prefill. */
    private static final int MAX_ENGINES = 2;

    /** Number of checks per silence limit, the time without an answer after which an engine may be presumed dead. */
    private static final int CHECKS_PER_SILENCE_LIMIT = 4;
    /** Reason given when a prompt is not begun. */
    static final String NOT_BEGUN_REASON = "the engines have no time to read the prompt now";

    /**
     * How long before its caller gives up an unfinished prefill is cancelled, in milliseconds, so that the refusal still
     * arrives.
     */
    private static final double REFUSAL_LEAD_MILLIS = 200;
    /** Upper limit of that lead, as a share of the time that the caller keeps waiting when the prompt is sent. */
    private static final double MAX_REFUSAL_LEAD_SHARE = 0.1;

    /** Sendings of a request that is prefilled: the prefill and the run. */
    private static final int SENDINGS_WITH_RUN = 2;

    private static final int MAX_REPLY_BYTES = 64 * 1024;

    /** Receives the result of the prefill. */
    interface Listener {
        /** Called when the engine holds the KV cache of the prompt under the handle. */
        void prefilled(Endpoint prefillEngine, String handle);

        /** Called when there is no prefill engine: the decode engine has to prefill the prompt. */
        void noEngine();

        /** Called when the engines no longer have time for the prompt and nothing has been sent. */
        void notBegun();

        /** Called when the request must not be sent to an engine, because engines have crashed. */
        void quarantined();

        /** Called when the prompt could not be prefilled. */
        void failed(String why);
    }

    private final RunContext context;
    private final Exchange exchange;
    private final ForwardedRequest forwarded;
    private final FirstEventDeadline deadline;
    private final PrefillEngines engines;
    private final String service;
    private final int promptTokens;
    private final Repeats attemptRepeats;
    /** The sendings to further engines in this attempt. */
    private final Repeats furtherRepeats;

    private final RunLog log;
    private final Listener listener;
    private final Set<Endpoint> triedEngines = new HashSet<>();
    private PrefillPlanner<Endpoint>.@Nullable Prefill prefill;
    private @Nullable PermitRequest permit;
    private @Nullable EndpointCall call;
    private @Nullable ScheduledCall checkTimer;
    private @Nullable ScheduledCall giveUpTimer;

    PrefillRun(
            RunContext context,
            Exchange exchange,
            ForwardedRequest forwarded,
            FirstEventDeadline deadline,
            String service,
            Repeats attemptRepeats,
            RunLog log,
            Listener listener) {
        this.context = context;
        this.exchange = exchange;
        this.deadline = deadline;
        this.engines = context.bookings(service).prefillEngines();
        this.forwarded = forwarded;
        this.service = service;
        this.promptTokens = exchange.facts().promptTokens();
        this.attemptRepeats = attemptRepeats;
        this.furtherRepeats = new Repeats(context, service, log);
        this.log = log;
        this.listener = listener;
    }

    /**
     * Sends the prompt to the engine that is predicted to finish it first; among equals, to one in the zone of the decode
     * engine.
     */
    void start(Endpoint decodeEngine) {
        if (context.crashGuard().quarantines(exchange)) {
            listener.quarantined();
            return;
        }
        Optional<Endpoint> chosen =
                engines.best(promptTokens, triedEngines, decodeEngine.member().zone());
        if (chosen.isEmpty()) {
            listener.noEngine();
            return;
        }
        Endpoint engine = chosen.get();
        PrefillPlanner.Deadline remaining = deadline.remaining();
        PrefillPlanner.Verdict verdict = engines.judge(engine, promptTokens, remaining);
        if (verdict != PrefillPlanner.Verdict.BEGIN) {
            refuseOrPostpone(engine, verdict, remaining);
            return;
        }
        if (engine.limits().limited()) {
            askToSend(engine, decodeEngine);
        } else {
            sendIfAllowed(engine, decodeEngine);
        }
    }

    private Repeats repeats() {
        return triedEngines.size() > 1 ? furtherRepeats : attemptRepeats;
    }

    /** Sends the prompt if the retry budget allows the run that follows, too; else the decode engine has to read it. */
    private void sendIfAllowed(Endpoint engine, Endpoint decodeEngine) {
        if (!context.directory().usable(engine)) {
            start(decodeEngine);
            return;
        }
        boolean further = !triedEngines.isEmpty();
        if (!further && !attemptRepeats.reserve(SENDINGS_WITH_RUN)) {
            listener.noEngine();
            return;
        }
        if (!(further ? furtherRepeats : attemptRepeats).send(engine)) {
            listener.failed(RunContext.BUDGET_SPENT);
            return;
        }
        send(engine, decodeEngine, engines.begin(engine, promptTokens, deadline.remaining()));
    }

    /** Sends the prompt to an engine that states a limit once this is allowed, or to another one that states none. */
    private void askToSend(Endpoint engine, Endpoint decodeEngine) {
        long waitMillis = engines.allLimited() ? LimitWait.maxMillis(exchange, deadline.route(), forwarded) : 0;
        permit = context.endpointLimits().ask(engine, 1, waitMillis, new EndpointLimits.Listener() {
            @Override
            public void granted() {
                sendIfAllowed(engine, decodeEngine);
            }

            @Override
            public void refused(long retryAfterMillis) {
                if (engines.allLimited()) {
                    log.prefillNotAllowed(engine, context.endpointLimits().describe(engine));
                    listener.failed(RunContext.ALL_LIMITED);
                } else {
                    start(decodeEngine);
                }
            }
        });
    }

    /**
     * Only a prompt that no engine has received can be queued again: another engine may already have prefilled a part of
     * it.
     */
    private void refuseOrPostpone(Endpoint engine, PrefillPlanner.Verdict verdict, PrefillPlanner.Deadline remaining) {
        boolean untouched = triedEngines.isEmpty() && verdict != PrefillPlanner.Verdict.CALLER_LEAVES_SOONER;
        if (untouched) {
            listener.notBegun();
            return;
        }
        log.prefillNotBegun(engine, verdict, engines.describeInputs(engine, promptTokens, remaining));
        listener.failed(NOT_BEGUN_REASON);
    }

    private void send(Endpoint engine, Endpoint decodeEngine, PrefillPlanner<Endpoint>.Prefill newPrefill) {
        triedEngines.add(engine);
        prefill = newPrefill;
        long sentAt = context.now();
        ReplyCollector reply = new ReplyCollector(
                MAX_REPLY_BYTES, (answer, body) -> answered(engine, decodeEngine, answer, body, sentAt), failure -> {
                    context.recordFailed("prefill", exchange, engine, failure, log, sentAt, 0);
                    failed(engine, decodeEngine, failure);
                });
        EndpointCall newCall = engine.send(
                forwarded.head(Forwarding.prefill(engine.member().id(), forwarded.remainingMillis())),
                exchange.body(),
                exchange.facts().id(),
                reply);
        call = newCall;
        scheduleCheck(Math.round(newPrefill.unresponsiveLimitMillis()), newCall, engine, decodeEngine, newPrefill);
        double remainingMillis = deadline.remaining().untilAbandonedMillis();
        long giveUpAfterMillis =
                Math.round(remainingMillis - Math.min(REFUSAL_LEAD_MILLIS, MAX_REFUSAL_LEAD_SHARE * remainingMillis));
        giveUpTimer = context.after(Math.max(0, giveUpAfterMillis), () -> giveUp(newCall, engine));
    }

    /** Cancels the prefill shortly before the caller gives up. Nothing has run so far, so the caller may retry elsewhere. */
    private void giveUp(EndpointCall prefillCall, Endpoint engine) {
        if (!prefillCall.active()) {
            return;
        }
        prefillCall.cancel();
        end();
        engine.health().recordFailure(context.now());
        log.callFailed(
                "prefill",
                engine,
                new CallFailure(CallFailure.Kind.TIMED_OUT, "the caller gives up before the prefill ends"));
        listener.failed("the prompt isn't read in time");
    }

    private void scheduleCheck(
            long millis,
            EndpointCall prefillCall,
            Endpoint engine,
            Endpoint decodeEngine,
            PrefillPlanner<Endpoint>.Prefill checkedPrefill) {
        checkTimer = context.after(Math.max(MIN_CHECK_INTERVAL_MILLIS, millis), () -> {
            if (!prefillCall.active()) {
                return;
            }
            if (triedEngines.size() < MAX_ENGINES && engines.isLost(checkedPrefill, engine)) {
                prefillCall.cancel();
                failed(
                        engine,
                        decodeEngine,
                        new CallFailure(CallFailure.Kind.TIMED_OUT, "no answer in time, while other engines prefill"));
            } else {
                scheduleCheck(
                        Math.round(checkedPrefill.unresponsiveLimitMillis() / CHECKS_PER_SILENCE_LIMIT),
                        prefillCall,
                        engine,
                        decodeEngine,
                        checkedPrefill);
            }
        });
    }

    private void answered(Endpoint engine, Endpoint decodeEngine, HttpResponse answer, ByteBuf body, long sentAt) {
        PrefillPlanner<Endpoint>.Prefill answeredPrefill = prefill;
        String text = ReplyCollector.text(body);
        body.release();
        // A handle of an ended incarnation may denote another prompt's cache in the next incarnation.
        Optional<String> handle = answer.status().code() == 200 && !engine.ended()
                ? context.protocol().kvHandle(text)
                : Optional.empty();
        double millis = (context.now() - sentAt) / 1e6;
        if (handle.isPresent() && answeredPrefill != null) {
            answeredPrefill.completed(
                    context.now(), millis, deadline.remaining().objectiveMillis());
        }
        end();
        if (handle.isEmpty()) {
            engine.workRejections().recordRejection(context.now());
            log.step(
                    "prefill-refused",
                    engine,
                    "status=" + answer.status().code() + " " + context.describeBudget(service));
            retryElsewhere(decodeEngine);
            return;
        }
        engine.workRejections().recordAcceptance();
        engine.health().recordSuccess(context.now(), millis);
        long predicted = answeredPrefill == null ? 0 : Math.round(answeredPrefill.predictedMillis());
        log.step("prefilled", engine, "took_ms=" + Math.round(millis) + " predicted_ms=" + predicted);
        listener.prefilled(engine, handle.get());
    }

    private void failed(Endpoint engine, Endpoint decodeEngine, CallFailure failure) {
        end();
        if (failure.nothingSent()) {
            repeats().notSent();
        }
        engine.health().recordFailure(context.now());
        log.callFailed("prefill", engine, failure);
        retryElsewhere(decodeEngine);
    }

    private void retryElsewhere(Endpoint decodeEngine) {
        if (triedEngines.size() < MAX_ENGINES && furtherRepeats.decide(1)) {
            start(decodeEngine);
            return;
        }
        listener.failed("the prompt can't be read");
    }

    /** Cancels the prefill, if it is still in progress. */
    void cancel() {
        EndpointCall currentCall = call;
        if (currentCall != null && currentCall.active()) {
            currentCall.cancel();
        }
        PermitRequest pendingPermit = permit;
        if (pendingPermit != null) {
            pendingPermit.cancel();
        }
        furtherRepeats.release();
        end();
    }

    private void end() {
        cancel(checkTimer);
        cancel(giveUpTimer);
        PrefillPlanner<Endpoint>.Prefill currentPrefill = prefill;
        if (currentPrefill != null) {
            currentPrefill.aborted();
            prefill = null;
        }
    }

    private static void cancel(@Nullable ScheduledCall timer) {
        if (timer != null) {
            timer.cancel();
        }
    }
}
