package org.quetzalseam.gateway.route;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.generation.TokenDemand;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.http.CallFailure;
import org.quetzalseam.gateway.protocol.Forwarding;
import org.quetzalseam.gateway.protocol.ReplyFacts;
import org.quetzalseam.gateway.runtime.ScheduledCall;

/**
 * Runs one streamed generation: books decode memory, has the prompt prefilled at a prefill engine and its KV cache fetched
 * by the decode engine, and forwards the events as they arrive. Used on the event loop only.
 */
final class GenerationRun {
    /** Multiple of the latency objective after which an engine that has sent no first event counts as unresponsive. */
    private static final int UNRESPONSIVE_OBJECTIVES = 2;

    private final RunContext context;
    private final Exchange exchange;
    private final RouteRule route;
    private final String service;
    private final RunLog log;
    private final BookingManager bookings;
    private final ForwardedRequest forwarded;
    private final FirstEventDeadline deadline;
    private final HeldResources held;
    private final StreamRelay relay;
    private final GenerationStatistics statistics;
    private final Repeats repeats;
    private final GenerationAttempts attempts;
    private final StreamBinding binding;
    private final GenerationWork work = new GenerationWork();
    private final GenerationEnd end;
    private final long earlierAttemptsMillis;

    GenerationRun(
            RunContext context, Exchange exchange, RouteRule route, String service, StreamBinding binding, RunLog log) {
        this.context = context;
        this.exchange = exchange;
        this.route = route;
        this.service = service;
        this.log = log;
        this.bookings = context.bookings(service);
        this.held = new HeldResources(bookings);
        this.statistics = new GenerationStatistics(context, exchange, route, bookings, log);
        this.relay = new StreamRelay(exchange, log);
        this.repeats = new Repeats(context, service, log);
        this.attempts = new GenerationAttempts(context, route, service, repeats);
        this.binding = binding;
        this.forwarded = new ForwardedRequest(exchange, context.protocol(), route);
        this.earlierAttemptsMillis = context.earlierWaits(route.name())
                .estimateMillis(exchange.facts().callerTimeoutMillis());
        this.end = new GenerationEnd(context, exchange, route, service, log, bookings, attempts);
        this.deadline = new FirstEventDeadline(exchange, route, forwarded, earlierAttemptsMillis);
    }

    void start() {
        exchange.onCallerDisconnected(this::callerDisconnected);
        exchange.onShutdown(this::entryStopping);
        exchange.onWritable(work::resumeReading);
        ScheduledCall timer = context.after(forwarded.remainingMillis(), this::deadlinePassed);
        end.onFinished(() -> {
            timer.cancel();
            held.release();
            repeats.release();
            statistics.recordWastedPrefill();
            statistics.recordStreamPace(relay.pace(), earlierAttemptsMillis);
        });
        startAttempt();
    }

    private void startAttempt() {
        if (end.endIfQuarantined()) {
            return;
        }
        if (!binding.canRun()) {
            end.giveUp(RunContext.NO_ENDPOINT_OF_BUILD);
            return;
        }
        attempts.recordStarted();
        TokenDemand demand = exchange.facts().demand();
        if (demand == null) {
            decodeUnbooked();
        } else {
            bookMemory(demand);
        }
    }

    private void bookMemory(TokenDemand demand) {
        GenerationAdmission newAdmission = new GenerationAdmission(
                context,
                service,
                deadline,
                earlierAttemptsMillis,
                log,
                binding.origin(),
                new GenerationAdmission.Listener() {
                    @Override
                    public void booked(BookedMemory memory) {
                        memoryBooked(memory);
                    }

                    @Override
                    public void refused(String why) {
                        work.admissionEnded();
                        end.giveUp(why);
                    }
                });
        work.admitting(newAdmission);
        newAdmission.start(demand);
    }

    private void decodeUnbooked() {
        EndpointSearch search = new EndpointSearch(
                context,
                () -> UnbookedEngine.candidates(context, service, binding.origin()),
                UnbookedEngine.order(context.now()),
                () -> LimitWait.maxMillis(exchange, route, forwarded),
                new EndpointSearch.Listener() {
                    @Override
                    public void found(Endpoint endpoint) {
                        decode(endpoint, null, null, null);
                    }

                    @Override
                    public void none() {
                        end.giveUp("no endpoint");
                    }

                    @Override
                    public void limited(long retryAfterMillis, String inputs) {
                        end.giveUpAtLimit(retryAfterMillis, inputs);
                    }
                });
        work.searching(search);
        search.start();
    }

    private void memoryBooked(BookedMemory booked) {
        work.admissionEnded();
        held.booked(booked);
        log.booked(booked.engine(), booked.tokens());
        if (!end.mayHaveRun() && !context.endsInTime(exchange, route)) {
            // Nothing has run so far. This is the last moment at which a refusal can truthfully state that.
            end.finish("refused", HttpResponseStatus.SERVICE_UNAVAILABLE.code());
            context.refuseDraining(exchange);
            return;
        }
        statistics.recordBooked();
        if (held.prefilled(context.directory())) {
            decodeBooked(booked);
        } else if (booked.prefillsPrompt()) {
            log.step("reads-in-place", booked.engine(), "tokens=" + booked.tokens());
            decodeBooked(booked);
        } else {
            prefillPrompt(booked);
        }
    }

    private void prefillPrompt(BookedMemory booked) {
        PrefillRun newPrefill = new PrefillRun(
                context, exchange, forwarded, deadline, service, repeats, log, new PrefillRun.Listener() {
                    @Override
                    public void prefilled(Endpoint prefillEngine, String handle) {
                        held.prefilled(new KvCache(prefillEngine, handle));
                        statistics.recordPrefilled();
                        decodeBooked(booked);
                    }

                    @Override
                    public void noEngine() {
                        decodeBooked(booked);
                    }

                    @Override
                    public void notBegun() {
                        work.prefillEnded();
                        held.release();
                        attempts.recordPostponed();
                        startAttempt();
                    }

                    @Override
                    public void quarantined() {
                        end.endIfQuarantined();
                    }

                    @Override
                    public void failed(String why) {
                        end.giveUp(why);
                    }
                });
        work.prefilling(newPrefill);
        newPrefill.start(booked.engine());
    }

    private void decodeBooked(BookedMemory booked) {
        work.prefillEnded();
        if (!context.directory().usable(booked.engine())) {
            log.step(
                    "booking-left",
                    booked.engine(),
                    "draining=" + booked.engine().member().draining());
            held.releaseMemory();
            attempts.recordPostponed();
            startAttempt();
            return;
        }
        KvCache kv = held.markUsed();
        String source = kv == null
                ? null
                : context.protocol().kvSource(kv.holder().member().address(), kv.handle());
        decode(booked.engine(), kv == null ? null : kv.holder(), source, booked.id());
    }

    private void decode(
            Endpoint engine, @Nullable Endpoint prefillEngine, @Nullable String kvSource, @Nullable String booking) {
        if (end.endIfQuarantined()) {
            return;
        }
        if (!repeats.send(engine)) {
            held.release();
            statistics.recordWastedPrefill();
            end.giveUp(RunContext.BUDGET_SPENT);
            return;
        }
        repeats.release();
        context.crashGuard().recordSent(exchange);
        Forwarding forwarding = new Forwarding(
                engine.member().id(), forwarded.remainingMillis(), false, kvSource, booking, relay.resumePoint());
        DecodeReply reply = new DecodeReply(context.protocol(), new DecodeListener(engine, prefillEngine));
        work.decoding(engine.send(
                forwarded.head(forwarding), exchange.body(), exchange.facts().id(), reply));
    }

    private final class DecodeListener implements DecodeReply.Listener {
        private final Endpoint engine;
        private final EngineOutcome outcome;
        private final long sentAt = context.now();
        private long begunAt;

        DecodeListener(Endpoint engine, @Nullable Endpoint prefillEngine) {
            this.engine = engine;
            this.outcome = new EngineOutcome(engine, prefillEngine);
        }

        @Override
        public void begun(HttpResponse head) {
            begunAt = context.now();
            end.recordMayHaveRun();
            outcome.recordAcceptance();
            log.begun(engine);
            binding.recordBegun(engine);
            relay.begin(head);
        }

        @Override
        public void piece(ByteBuf piece) {
            relay.forward(piece, work.decodeCall());
        }

        @Override
        public void streamEnded() {
            CallFailure incomplete = relay.incompleteEnd();
            if (incomplete != null) {
                failed(incomplete);
                return;
            }
            attempts.recordRun();
            context.crashGuard().recordEnded(exchange, relay.framed());
            engine.health().recordSuccess(context.now(), engine.health().responseMillis());
            statistics.recordAnswered(relay.events().eventCount());
            end.finish("answered", HttpResponseStatus.OK.code());
            exchange.end();
        }

        @Override
        public void answered(HttpResponse head, ByteBuf body) {
            held.release();
            handleCompleteReply(outcome, head, body, sentAt);
        }

        @Override
        public void failed(CallFailure failure) {
            held.release();
            context.recordFailed("decode", exchange, engine, failure, log, sentAt, begunAt);
            decodeFailed(engine, failure);
        }
    }

    private void handleCompleteReply(EngineOutcome outcome, HttpResponse head, ByteBuf body, long sentAt) {
        Endpoint engine = outcome.decodeEngine();
        ReplyFacts facts = context.protocol().facts(head);
        int status = head.status().code();
        if (facts.notRun()) {
            body.release();
            outcome.recordRefusal(context.now());
            context.crashGuard().recordRejected(exchange);
            log.rejected(engine, status, sentAt, context.describeBudget(service));
            retryNotRun("the engine turned it away");
            return;
        }
        attempts.recordRun();
        context.crashGuard().recordEnded(exchange, false);
        end.recordMayHaveRun();
        engine.health().recordFailure(context.now());
        if (exchange.begun() || !facts.signed()) {
            body.release();
            resumeElsewhere(engine, "status " + status);
            return;
        }
        end.finish("answered", status);
        exchange.answer(head, body);
    }

    private void decodeFailed(Endpoint engine, CallFailure failure) {
        engine.health().recordFailure(context.now());
        log.callFailed("decode", engine, failure);
        if (failure.nothingSent()) {
            context.crashGuard().recordNotSent(exchange);
            repeats.notSent();
            retryNotRun("the engine can't be reached");
            return;
        }
        attempts.recordRun();
        end.recordMayHaveRun();
        resumeElsewhere(engine, failure.kind().toString());
    }

    /** Starts another attempt after an engine that has not run the request: it may be booked, prefilled and sent again. */
    private void retryNotRun(String why) {
        if (attempts.acquireRetry()) {
            statistics.recordWastedPrefill();
            startAttempt();
        } else {
            end.giveUp(why);
        }
    }

    /** Resumes the stream after an engine that may have run the request, if its route allows that. */
    private void resumeElsewhere(Endpoint engine, String why) {
        relay.events().discardIncompleteEvent();
        RetryDecision decision = attempts.acquireResume();
        if (decision == RetryDecision.ALLOWED) {
            log.step(
                    "resume",
                    engine,
                    "after=" + relay.events().lastId() + " why=\"" + why + "\" " + context.describeBudget(service));
            statistics.recordWastedPrefill();
            startAttempt();
        } else {
            end.endWithUnknownOutcome(why, decision);
        }
    }

    private void recordUnresponsiveEngine() {
        boolean noEvent = relay.pace().pieces() == 0;
        if (noEvent && exchange.ageMillis() > UNRESPONSIVE_OBJECTIVES * route.targetLatencyMillis()) {
            work.recordUnresponsive(held.memory(), context.now());
        }
    }

    private void deadlinePassed() {
        recordUnresponsiveEngine();
        endUnfinished("timed-out", HttpResponseStatus.GATEWAY_TIMEOUT, "no answer in time");
    }

    private void entryStopping() {
        endUnfinished("stopped", HttpResponseStatus.BAD_GATEWAY, "this entry stops");
    }

    private void endUnfinished(String outcome, HttpResponseStatus status, String why) {
        boolean sent = end.mayHaveRun() || work.sentToEngine();
        cancelWork();
        if (!sent) {
            end.giveUp(why);
            return;
        }
        end.finish(outcome, status.code());
        end.abortOrFail(why, status, why);
    }

    private void callerDisconnected() {
        recordUnresponsiveEngine();
        cancelWork();
        end.finish("caller-gone", 0);
    }

    /** Cancels and releases all that is running, queued or held for this request. */
    private void cancelWork() {
        work.cancel();
        held.release();
    }
}
