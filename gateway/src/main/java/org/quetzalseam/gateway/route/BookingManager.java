package org.quetzalseam.gateway.route;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.generation.MemoryBooking;
import org.quetzalseam.core.generation.TokenDemand;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.entry.EntryCount;
import org.quetzalseam.gateway.http.CallFailure;
import org.quetzalseam.gateway.http.WholeReply;
import org.quetzalseam.gateway.protocol.RequestFacts;

/**
 * Books decode memory at a service's engines for the generations of this entry. Used on the event loop only.
 *
 * <p>The engines' own bookings are what all entries agree on, without a message between them: an engine that is full says
 * so. Those who find no room wait here and ask again: those who can still be in time first, and among them those who cost the
 * least, as every answer is worth about the same and more of them fit.
 */
final class BookingManager {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How long an engine that refused isn't asked again for as much, in nanoseconds: a few engine steps. */
    private static final long RETRY_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
    /**
     * The same for those who are late already, in nanoseconds: so much longer that a place that gets free is nearly always
     * found first by someone, at this entry or another, whose answer can still be in time.
     */
    private static final long LATE_RETRY_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /** How often those who wait are looked at, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 20;
    /** How long a booking holds before its request arrives, in milliseconds: several times a prompt's reading. */
    private static final long BOOKING_LIFETIME_MILLIS = 2_000;
    /** How long an engine may take to answer, in milliseconds: many round trips, yet a part of the latency objective. */
    private static final long ANSWER_TIMEOUT_MILLIS = 150;

    /** Bookings asked of one engine at a time: the answer to one tells what another can hope for. */
    private static final int MAX_INQUIRIES_PER_ENGINE = 2;

    /** Weight of the newest generation in the typical time: about the last twenty count. */
    private static final double NEWEST_WEIGHT = 0.05;
    /** Time of a generation before the first one has ended, in milliseconds; it counts as much as a single one. */
    private static final double INITIAL_TYPICAL_MILLIS = 3_000;
    /** Part of the time to come back by which it is spread either way. */
    private static final double RETRY_AFTER_SPREAD_SHARE = 0.25;

    /** How often engines that are gone are forgotten, in milliseconds. */
    private static final long FORGET_INTERVAL_MILLIS = 10_000;
    /** Tokens by which engines hand out memory. */
    private static final int BLOCK_TOKENS = 16;

    /** How long an engine may take to confirm that something was given back, in milliseconds; it lapses by itself soon after. */
    private static final long RELEASE_TIMEOUT_MILLIS = 1_000;

    private static final int MAX_REPLY_BYTES = 64 * 1024;

    private final RunContext context;
    private final String service;
    private final List<BookingRequest> waiting = new ArrayList<>();
    private final Map<Endpoint, Refusal> refusals = new HashMap<>();
    private final Map<Endpoint, Integer> bookedTokens = new HashMap<>();
    private final Map<Endpoint, Integer> inquiries = new HashMap<>();
    private final MemoryBooking booking;
    private boolean checkScheduled;
    private final PrefillEngines prefillEngines;
    private final PrefillScheduler prefillScheduler;
    private double typicalMillis = INITIAL_TYPICAL_MILLIS;
    private int typicalCount = 1;

    /** An engine's last refusal: when, and of how many tokens. */
    private record Refusal(long at, int tokens) {}

    BookingManager(RunContext context, String service) {
        this.context = context;
        this.service = service;
        this.prefillEngines = new PrefillEngines(context, service);
        this.prefillScheduler = new PrefillScheduler(context, service, prefillEngines);
        this.booking = new MemoryBooking(
                context.settings().bookedDeviations(), context.settings().admittedDeviations(), BLOCK_TOKENS);
        context.timers().every(FORGET_INTERVAL_MILLIS, this::forgetRemoved);
    }

    private void forgetRemoved() {
        refusals.keySet().removeIf(engine -> !context.directory().usable(engine));
        bookedTokens.values().removeIf(tokens -> tokens == 0);
        inquiries.values().removeIf(count -> count == 0);
    }

    /** Takes a generation in; its outcome follows, never before this call returns. */
    void submit(BookingRequest request) {
        waiting.add(request);
        context.timers().soon(this::checkQueue);
    }

    /** Takes a generation out that needs no memory any more. */
    void remove(BookingRequest request) {
        request.cancel();
        waiting.remove(request);
    }

    /** Returns how much memory is booked for a generation. */
    MemoryBooking booking() {
        return booking;
    }

    /** Returns who reads the prompts. */
    PrefillEngines prefillEngines() {
        return prefillEngines;
    }

    /** Returns when they read them. */
    PrefillScheduler prefillScheduler() {
        return prefillScheduler;
    }

    /** Sets among how many entries the engines are shared, and this one's place among them. */
    void entries(EntryCount counted) {
        prefillEngines.entries(counted.entries());
        prefillScheduler.entries(counted);
    }

    /** Notes how long a generation took from its arrival to its end, and how many events it made. */
    void recordEnded(long tookMillis, RequestFacts facts, long events) {
        TokenDemand demand = facts.demand();
        if (demand != null && facts.resumesAfter() == null) {
            booking.ended(demand, (double) events);
        }
        typicalCount++;
        typicalMillis += Math.max(NEWEST_WEIGHT, 1.0 / typicalCount) * (tookMillis - typicalMillis);
    }

    /**
     * Returns when a refused caller finds room, in milliseconds: all that fills the engines now has ended after about the
     * time of a generation, or when the prompts before it are read, if that takes longer. Spread, so that those who were refused together don't come back together.
     */
    long retryAfterMillis(double objectiveMillis) {
        double spread = 1
                - RETRY_AFTER_SPREAD_SHARE
                + 2 * RETRY_AFTER_SPREAD_SHARE * ThreadLocalRandom.current().nextDouble();
        return Math.round(Math.max(typicalMillis, prefillEngines.retryAfterMillis(objectiveMillis)) * spread);
    }

    /** Notes that a booking's generation has ended: its engine has room. */
    void recordFreed(Endpoint engine, int tokens) {
        bookedTokens.merge(engine, -tokens, Integer::sum);
        refusals.remove(engine);
        if (!waiting.isEmpty()) {
            context.timers().soon(this::checkQueue);
        }
    }

    private void checkQueue() {
        long now = context.now();
        List<BookingRequest> order = new ArrayList<>(waiting);
        order.sort(Comparator.<BookingRequest, Boolean>comparing(request -> request.isLate(now))
                .thenComparingDouble(BookingRequest::cost));
        for (BookingRequest request : order) {
            if (request.finished()) {
                waiting.remove(request);
            } else if (now - request.waitUntil() >= 0 && !request.inquiring()) {
                waiting.remove(request);
                request.refuse(null);
            } else if (!request.inquiring()) {
                askBestEngine(request, now);
            }
        }
        scheduleCheck();
    }

    private void scheduleCheck() {
        if (!waiting.isEmpty() && !checkScheduled) {
            checkScheduled = true;
            context.after(CHECK_INTERVAL_MILLIS, () -> {
                checkScheduled = false;
                checkQueue();
            });
        }
    }

    private void askBestEngine(BookingRequest request, long now) {
        List<Endpoint> engines =
                EngineExclusion.withoutExcluded(context.directory().usable(service, Stage.DECODE), now);
        if (engines.isEmpty()) {
            waiting.remove(request);
            request.refuse("no decode engine");
            return;
        }
        Optional<Endpoint> best = engines.stream()
                .filter(candidate -> request.accepts(candidate) && mayHaveRoom(candidate, request, now))
                .min(Comparator.<Endpoint, Boolean>comparing(
                                candidate -> candidate.health().suspect(now))
                        .thenComparingInt(candidate -> bookedTokens.getOrDefault(candidate, 0))
                        .thenComparing(candidate -> ThreadLocalRandom.current().nextInt()));
        if (best.isEmpty() && request.refusedWhenFull()) {
            waiting.remove(request);
            request.refuse(null);
        }
        best.ifPresent(chosen -> ask(request, chosen));
    }

    private boolean mayHaveRoom(Endpoint engine, BookingRequest request, long now) {
        if (inquiries.getOrDefault(engine, 0) >= MAX_INQUIRIES_PER_ENGINE || !engine.reachable()) {
            return false;
        }
        Refusal refusal = refusals.get(engine);
        long pauseNanos = request.isLate(now) ? LATE_RETRY_PAUSE_NANOS : RETRY_PAUSE_NANOS;
        return refusal == null || now - refusal.at() > pauseNanos || request.tokens() < refusal.tokens();
    }

    private void ask(BookingRequest request, Endpoint engine) {
        request.inquiring(true);
        inquiries.merge(engine, 1, Integer::sum);
        book(engine, request.tokens(), new BookingListener() {
            @Override
            public void booked(String id) {
                checkSpareRoom(request, engine, id);
            }

            @Override
            public void full() {
                refused(request, engine);
            }

            @Override
            public void failed(CallFailure failure) {
                unanswered(request, engine, failure);
            }
        });
    }

    /** The usual size is booked; the room that a long one needs has to be free, but doesn't stay booked. */
    private void checkSpareRoom(BookingRequest request, Endpoint engine, String id) {
        if (request.finished() || request.room() == 0) {
            granted(request, engine, id);
            return;
        }
        book(engine, request.room(), new BookingListener() {
            @Override
            public void booked(String room) {
                release(engine, room);
                granted(request, engine, id);
            }

            @Override
            public void full() {
                release(engine, id);
                refused(request, engine);
            }

            @Override
            public void failed(CallFailure failure) {
                release(engine, id);
                unanswered(request, engine, failure);
            }
        });
    }

    /** What an engine answers to a booking. */
    private interface BookingListener {
        void booked(String id);

        void full();

        void failed(CallFailure failure);
    }

    private void book(Endpoint engine, int tokens, BookingListener listener) {
        WholeReply reply = new WholeReply(
                MAX_REPLY_BYTES,
                (head, body) -> {
                    String text = WholeReply.text(body);
                    body.release();
                    Optional<String> id =
                            head.status().code() == 200 ? context.protocol().bookingId(text) : Optional.empty();
                    id.ifPresentOrElse(listener::booked, listener::full);
                },
                listener::failed);
        engine.control(context.protocol().bookMemory(tokens, BOOKING_LIFETIME_MILLIS), ANSWER_TIMEOUT_MILLIS, reply);
    }

    private void refused(BookingRequest request, Endpoint engine) {
        recordAnswer(request, engine);
        refusals.put(engine, new Refusal(context.now(), request.tokens()));
        checkQueue();
    }

    private void granted(BookingRequest request, Endpoint engine, String id) {
        recordAnswer(request, engine);
        if (request.finished()) {
            release(engine, id);
            return;
        }
        waiting.remove(request);
        bookedTokens.merge(engine, request.tokens(), Integer::sum);
        request.grant(engine, id);
    }

    private void recordAnswer(BookingRequest request, Endpoint engine) {
        request.inquiring(false);
        inquiries.merge(engine, -1, Integer::sum);
    }

    private void unanswered(BookingRequest request, Endpoint engine, CallFailure failure) {
        recordAnswer(request, engine);
        engine.health().failed(context.now());
        refusals.put(engine, new Refusal(context.now(), 0));
        logger.atInfo().log(
                "event=booking-failed service=%s endpoint=%s kind=%s detail=\"%s\"",
                service, engine.member().id(), failure.kind(), failure.detail());
        checkQueue();
    }

    /** Gives a booking back that won't be used. */
    void release(Endpoint engine, String id) {
        control(engine, context.protocol().releaseBooking(id), "release");
    }

    /** Drops a KV cache that won't be used. */
    void dropKv(Endpoint engine, String handle) {
        control(engine, context.protocol().dropKv(handle), "drop-kv");
    }

    private void control(Endpoint engine, io.netty.handler.codec.http.FullHttpRequest request, String what) {
        engine.control(
                request,
                RELEASE_TIMEOUT_MILLIS,
                new WholeReply(
                        MAX_REPLY_BYTES,
                        (head, body) -> body.release(),
                        failure -> logger.atInfo().log(
                                "event=%s-failed endpoint=%s kind=%s",
                                what, engine.member().id(), failure.kind())));
    }
}
