package org.quetzalseam.gateway.route;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.generation.TokenDemand;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.endpoint.EndpointCall;
import org.quetzalseam.gateway.http.CallFailure;
import org.quetzalseam.gateway.protocol.Forwarding;
import org.quetzalseam.gateway.protocol.ReplyFacts;
import org.quetzalseam.gateway.runtime.Subscription;

/**
 * One streamed generation: decode memory is booked, the prompt is read at a prefill engine, the KV cache goes to the decode
 * engine, and its events are passed on as they come. Used on the event loop only.
 */
final class GenerationRun {
    /** Latency objectives after which an engine without a first event is taken to be silent. */
    private static final int SILENT_TARGETS = 2;

    private final RunContext context;
    private final Exchange exchange;
    private final RouteRule route;
    private final String service;
    private final RunLog log;
    private final ReservationDesk desk;
    private final ForwardedRequest forwarded;
    private final CallerDue due;
    private final HeldMemory held;
    private final StreamRelay relay;
    private final GenerationLessons lessons;
    private final GenerationTurns turns;
    private @Nullable MemoryWait waiting;
    private @Nullable PromptReading reading;
    private @Nullable EndpointCall decoding;
    private @Nullable Subscription deadlineTimer;
    private final long spentBefore;
    private boolean mayHaveRun;
    private boolean over;

    GenerationRun(RunContext context, Exchange exchange, RouteRule route, String service, RunLog log) {
        this.context = context;
        this.exchange = exchange;
        this.route = route;
        this.service = service;
        this.log = log;
        this.desk = context.desk(service);
        this.held = new HeldMemory(desk);
        this.lessons = new GenerationLessons(context, exchange, route, desk, log);
        this.relay = new StreamRelay(exchange, log);
        this.turns = new GenerationTurns(context, route, service);
        this.forwarded = new ForwardedRequest(exchange, context.protocol(), route);
        this.spentBefore = context.patience(route.name()).spent(exchange.facts().patienceMillis());
        this.due = new CallerDue(exchange, route, forwarded, spentBefore);
    }

    void start() {
        exchange.whenGone(this::callerGone);
        exchange.whenStopped(this::processStops);
        exchange.whenWritable(this::callerReads);
        deadlineTimer = context.after(forwarded.leftMillis(), this::deadlinePassed);
        takeTurn();
    }

    private void takeTurn() {
        turns.begun();
        TokenDemand demand = exchange.facts().demand();
        if (demand == null) {
            decodeUnbooked();
        } else {
            bookMemory(demand);
        }
    }

    private void bookMemory(TokenDemand demand) {
        MemoryWait wait = new MemoryWait(context, service, due, spentBefore, log, new MemoryWait.Outcome() {
            @Override
            public void booked(BookedMemory memory) {
                memoryBooked(memory);
            }

            @Override
            public void refused(String why) {
                waiting = null;
                giveUp(why);
            }
        });
        waiting = wait;
        wait.start(demand);
    }

    private void decodeUnbooked() {
        UnbookedEngine.choose(context, service)
                .ifPresentOrElse(engine -> decode(engine, null, null, null), () -> giveUp("no endpoint"));
    }

    private void memoryBooked(BookedMemory booked) {
        waiting = null;
        held.booked(booked);
        log.booked(booked.engine(), booked.tokens());
        if (!mayHaveRun && !context.endsInTime(exchange, route)) {
            // Nothing has run so far: the last moment at which a refusal is true.
            over("refused", HttpResponseStatus.SERVICE_UNAVAILABLE.code());
            context.refuseLeaving(exchange);
            return;
        }
        lessons.begun();
        if (booked.readsPrompt()) {
            log.step("reads-in-place", booked.engine(), "tokens=" + booked.tokens());
            decodeBooked(booked);
        } else {
            readPrompt(booked);
        }
    }

    private void readPrompt(BookedMemory booked) {
        TokenDemand demand = exchange.facts().demand();
        int promptTokens = demand == null ? 0 : demand.prompt();
        PromptReading prompt = new PromptReading(
                context, exchange, forwarded, due, service, promptTokens, log, new PromptReading.Outcome() {
                    @Override
                    public void read(Endpoint reader, String handle) {
                        held.read(new KvCache(reader, handle));
                        lessons.promptRead();
                        decodeBooked(booked);
                    }

                    @Override
                    public void noEngine() {
                        decodeBooked(booked);
                    }

                    @Override
                    public void notBegun() {
                        reading = null;
                        held.free();
                        turns.putOff();
                        takeTurn();
                    }

                    @Override
                    public void failed(String why) {
                        giveUp(why);
                    }
                });
        reading = prompt;
        prompt.start(booked.engine());
    }

    private void decodeBooked(BookedMemory booked) {
        reading = null;
        KvCache kv = held.use();
        String source = kv == null
                ? null
                : context.protocol().kvSource(kv.holder().member().address(), kv.handle());
        decode(booked.engine(), kv == null ? null : kv.holder(), source, booked.id());
    }

    private void decode(
            Endpoint engine, @Nullable Endpoint reader, @Nullable String kvSource, @Nullable String booking) {
        Forwarding forwarding = new Forwarding(
                engine.member().id(), forwarded.leftMillis(), false, kvSource, booking, relay.resumePoint());
        DecodeReply reply = new DecodeReply(context.protocol(), new DecodeOutcome(engine, reader));
        decoding = engine.send(
                forwarded.head(forwarding), exchange.body(), exchange.facts().id(), reply);
    }

    private final class DecodeOutcome implements DecodeReply.Outcome {
        private final Endpoint engine;
        private final @Nullable Endpoint reader;

        DecodeOutcome(Endpoint engine, @Nullable Endpoint reader) {
            this.engine = engine;
            this.reader = reader;
        }

        @Override
        public void begun(HttpResponse head) {
            mayHaveRun = true;
            engine.work().taken();
            if (reader != null) {
                reader.caches().taken();
            }
            if (!exchange.begun()) {
                exchange.begin(head);
            }
        }

        @Override
        public void piece(ByteBuf piece) {
            relay.piece(piece, decoding);
        }

        @Override
        public void streamEnded() {
            if (relay.events().brokenOff()) {
                failed(new CallFailure(CallFailure.Kind.MALFORMED, "the stream ends within an event"));
                return;
            }
            turns.ran();
            engine.health().succeeded(context.now(), engine.health().millis());
            lessons.answered(relay.events().events());
            over("answered", HttpResponseStatus.OK.code());
            exchange.end();
        }

        @Override
        public void answered(HttpResponse head, ByteBuf body) {
            held.free();
            if (context.protocol().facts(head).notRun()) {
                noteTurnedAway(engine, reader);
            }
            answeredWhole(engine, head, body);
        }

        @Override
        public void failed(CallFailure failure) {
            held.free();
            decodeFailed(engine, failure);
        }
    }

    /** Either the engine takes nothing just now, or it couldn't have the KV cache from its reader. */
    private void noteTurnedAway(Endpoint engine, @Nullable Endpoint reader) {
        long now = context.now();
        engine.work().turnedAway(now);
        if (reader != null) {
            reader.caches().turnedAway(now);
        }
    }

    private void answeredWhole(Endpoint engine, HttpResponse head, ByteBuf body) {
        ReplyFacts facts = context.protocol().facts(head);
        int status = head.status().code();
        if (facts.notRun()) {
            body.release();
            log.rejected(engine, status, context.budget(service));
            turnAgain("the engine turned it away");
            return;
        }
        turns.ran();
        mayHaveRun = true;
        engine.health().failed(context.now());
        if (exchange.begun() || !facts.signed()) {
            body.release();
            goOnElsewhere(engine, "status " + status);
            return;
        }
        over("answered", status);
        exchange.answer(head, body);
    }

    private void decodeFailed(Endpoint engine, CallFailure failure) {
        engine.health().failed(context.now());
        log.callFailed("decode", engine, failure);
        if (failure.nothingSent()) {
            turnAgain("the engine can't be reached");
            return;
        }
        turns.ran();
        mayHaveRun = true;
        goOnElsewhere(engine, failure.kind().toString());
    }

    /** The engine has not run it: it may be booked, read and sent again. */
    private void turnAgain(String why) {
        if (turns.again()) {
            lessons.inVain();
            takeTurn();
        } else {
            giveUp(why);
        }
    }

    /** The engine may have run it: it may go on only where its route says so. */
    private void goOnElsewhere(Endpoint engine, String why) {
        relay.events().restart();
        AnotherTry next = turns.goOn();
        if (next == AnotherTry.ALLOWED) {
            log.step(
                    "resume",
                    engine,
                    "after=" + relay.events().lastId() + " why=\"" + why + "\" " + context.budget(service));
            lessons.inVain();
            takeTurn();
        } else {
            unknown(why, next);
        }
    }

    private void unknown(String why, AnotherTry denied) {
        log.triesEnd(why, denied, context.budget(service));
        over("broken-off", HttpResponseStatus.BAD_GATEWAY.code());
        if (exchange.begun()) {
            exchange.cut(why);
        } else {
            context.fail(exchange, HttpResponseStatus.BAD_GATEWAY, "the engine gave no whole answer");
        }
    }

    /** No engine takes it now: a refusal if it has run nowhere. */
    private void giveUp(String why) {
        if (over) {
            return;
        }
        if (mayHaveRun) {
            unknown(why, AnotherTry.TRIES_USED_UP);
            return;
        }
        over("refused", HttpResponseStatus.SERVICE_UNAVAILABLE.code());
        context.refuse(exchange, why, desk.comeBackMillis((double) route.targetMillis()));
    }

    private void callerReads() {
        EndpointCall running = decoding;
        if (running != null) {
            running.reading(true);
        }
    }

    /** An engine that has let its caller wait for twice the objective without a first event counts as failing. */
    private void noteSilence(@Nullable EndpointCall running) {
        BookedMemory booked = held.memory();
        boolean overdue = exchange.ageMillis() > SILENT_TARGETS * route.targetMillis();
        if (running != null
                && running.active()
                && booked != null
                && relay.pace().pieces() == 0
                && overdue) {
            booked.engine().health().failed(context.now());
        }
    }

    private void deadlinePassed() {
        noteSilence(decoding);
        endUnfinished("timed-out", HttpResponseStatus.GATEWAY_TIMEOUT, "no answer in time");
    }

    private void processStops() {
        endUnfinished("stopped", HttpResponseStatus.BAD_GATEWAY, "this entry stops");
    }

    private void endUnfinished(String outcome, HttpResponseStatus status, String why) {
        EndpointCall running = decoding;
        boolean sent = mayHaveRun || (running != null && running.active() && running.sent());
        stopWork();
        if (!sent) {
            giveUp(why);
            return;
        }
        over(outcome, status.code());
        if (exchange.begun()) {
            exchange.cut(why);
        } else {
            context.fail(exchange, status, why);
        }
    }

    private void callerGone() {
        noteSilence(decoding);
        stopWork();
        over("caller-gone", 0);
    }

    /** Ends what runs, waits or is held for this request anywhere. */
    private void stopWork() {
        MemoryWait wait = waiting;
        if (wait != null) {
            wait.cancel();
            waiting = null;
        }
        PromptReading prompt = reading;
        if (prompt != null) {
            prompt.cancel();
            reading = null;
        }
        EndpointCall running = decoding;
        if (running != null) {
            running.cancel();
        }
        held.free();
    }

    private void over(String outcome, int status) {
        if (over) {
            return;
        }
        over = true;
        Subscription timer = deadlineTimer;
        if (timer != null) {
            timer.cancel();
        }
        held.free();
        lessons.inVain();
        lessons.streamed(relay.pace(), spentBefore);
        log.ended(outcome, status, turns.taken());
    }
}
