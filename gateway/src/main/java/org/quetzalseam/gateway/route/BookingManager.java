package org.quetzalseam.gateway.route;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.FullHttpRequest;
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
import org.quetzalseam.gateway.http.ReplyCollector;
import org.quetzalseam.gateway.limit.EndpointLimits;
import org.quetzalseam.gateway.protocol.RequestFacts;

/**
 * Books decode memory at the engines of a service for this entry's generations. Used on the event loop only.
 *
 * <p>The engines' own bookings are the state that all entries share, without messages between the entries: a full engine
 * refuses. Requests that find no room are queued here and retried: first streams that can go on at one build only, then
 * those that can still meet their objective, and among them those with the lowest cost, because every answer is worth about
 * the same and more of the cheap ones fit.
 */
final class BookingManager {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How long an engine that refused is not asked again for as much memory, in nanoseconds: a few engine steps. */
    private static final long RETRY_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
    /**
     * The same pause for requests that are already late, in nanoseconds: so much longer that freed memory is nearly always
     * found first by a request, at this entry or another, whose answer can still be in time.
     */
    private static final long LATE_RETRY_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /** Interval between two checks of the queue, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 20;
    /** How long a booking is held before its request arrives, in milliseconds: several times the duration of a prefill. */
    private static final long BOOKING_LIFETIME_MILLIS = 2_000;
    /** Timeout of a booking inquiry, in milliseconds: many round trips, but only a part of the latency objective. */
    private static final long ANSWER_TIMEOUT_MILLIS = 150;

    /** Booking inquiries in flight per engine: the answer to one shows whether another can succeed. */
    private static final int MAX_INQUIRIES_PER_ENGINE = 2;

    /** Weight of the newest generation in the typical time: about the last twenty generations count. */
    private static final double NEWEST_WEIGHT = 0.05;
    /**
     * Assumed time of a generation before the first one has ended, in milliseconds; it has the weight of a single
     * generation.
     */
    private static final double INITIAL_TYPICAL_MILLIS = 3_000;
    /** Share of the retry-after time by which it is spread randomly in either direction. */
    private static final double RETRY_AFTER_SPREAD_SHARE = 0.25;

    /** Interval at which removed engines are forgotten, in milliseconds. */
    private static final long FORGET_INTERVAL_MILLIS = 10_000;
    /** Number of tokens per block in which engines allocate memory. */
    private static final int BLOCK_TOKENS = 16;

    /** Timeout of the confirmation that something was released, in milliseconds; otherwise it expires by itself soon after. */
    private static final long RELEASE_TIMEOUT_MILLIS = 1_000;

    private static final int MAX_REPLY_BYTES = 64 * 1024;

    /** Requests that a decode engine gets for one generation while it states a limit: a booking and the generation itself. */
    private static final int LIMITED_GENERATION_REQUESTS = 2;

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

    /** An engine's last refusal: its monotonic time in nanoseconds, and the number of tokens refused. */
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

    /** Queues a request; its listener is called later, never before this method returns. */
    void submit(BookingRequest request) {
        waiting.add(request);
        context.timers().soon(this::checkQueue);
    }

    /** Cancels and removes a request that no longer needs memory. */
    void remove(BookingRequest request) {
        request.cancel();
        waiting.remove(request);
    }

    /** Returns the rule for how much memory is booked for a generation. */
    MemoryBooking booking() {
        return booking;
    }

    /** Returns the prefill engines of the service. */
    PrefillEngines prefillEngines() {
        return prefillEngines;
    }

    /** Returns the scheduler of their prompts. */
    PrefillScheduler prefillScheduler() {
        return prefillScheduler;
    }

    /** Sets the number of entries that share the engines, and this entry's rank. */
    void entries(EntryCount counted) {
        prefillEngines.entries(counted.entries());
        prefillScheduler.entries(counted);
    }

    /** Records how long a generation took from its arrival to its end, in milliseconds, and its number of events. */
    void recordEnded(long tookMillis, RequestFacts facts, long events) {
        TokenDemand demand = facts.demand();
        if (demand != null && facts.resumesAfter() == null) {
            booking.recordLength(demand, (double) events);
        }
        typicalCount++;
        typicalMillis += Math.max(NEWEST_WEIGHT, 1.0 / typicalCount) * (tookMillis - typicalMillis);
    }

    /**
     * Returns the time after which a refused caller is expected to find room, in milliseconds: all that fills the engines
     * now has ended after about the typical time of a generation, or when the prompts before it are prefilled, if that
     * takes longer. The result is spread randomly, so that callers that were refused together do not retry together.
     */
    long retryAfterMillis(double objectiveMillis) {
        double spread = 1
                - RETRY_AFTER_SPREAD_SHARE
                + 2 * RETRY_AFTER_SPREAD_SHARE * ThreadLocalRandom.current().nextDouble();
        return Math.round(Math.max(typicalMillis, prefillEngines.retryAfterMillis(objectiveMillis)) * spread);
    }

    /** Records that the generation of a booking has ended, so that its engine has room. */
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
        order.sort(Comparator.<BookingRequest, Boolean>comparing(request -> !request.goesOn())
                .thenComparing(request -> request.isLate(now))
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
        List<Endpoint> allowed = context.directory().usable(service, Stage.DECODE).stream()
                .filter(request::mayRunAt)
                .toList();
        if (allowed.isEmpty()) {
            waiting.remove(request);
            request.refuse(request.goesOn() ? RunContext.NO_ENDPOINT_OF_BUILD : "no decode engine");
            return;
        }
        List<Endpoint> engines = EngineExclusion.withoutExcluded(allowed, now);
        List<Endpoint> withRoom = engines.stream()
                .filter(candidate -> request.accepts(candidate) && mayHaveRoom(candidate, request, now))
                .toList();
        Optional<Endpoint> best = withRoom.stream()
                .min(Comparator.<Endpoint, Boolean>comparing(
                                candidate -> candidate.health().isSuspect(now))
                        .thenComparingInt(candidate -> bookedTokens.getOrDefault(candidate, 0))
                        .thenComparing(candidate -> ThreadLocalRandom.current().nextInt()));
        if (best.isEmpty() && request.refusedWhenFull()) {
            waiting.remove(request);
            request.refuse(null);
        }
        best.ifPresent(chosen -> {
            if (chosen.limits().limited()) {
                askWithPermit(request, chosen);
            } else {
                ask(request, chosen);
            }
        });
    }

    /** Asks an engine that states a limit, if both the booking and the generation may be sent to it now. */
    private void askWithPermit(BookingRequest request, Endpoint engine) {
        request.inquiring(true);
        context.endpointLimits().ask(engine, LIMITED_GENERATION_REQUESTS, 0, new EndpointLimits.Listener() {
            @Override
            public void granted() {
                request.inquiring(false);
                if (!request.finished()) {
                    ask(request, engine);
                }
            }

            @Override
            public void refused(long retryAfterMillis) {
                request.inquiring(false);
                context.timers().soon(BookingManager.this::checkQueue);
            }
        });
    }

    private boolean mayHaveRoom(Endpoint engine, BookingRequest request, long now) {
        if (inquiries.getOrDefault(engine, 0) >= MAX_INQUIRIES_PER_ENGINE || !engine.hasFreeConnection()) {
            return false;
        }
        if (engine.limits().limited() && !engine.limits().backoff().mayAsk(now)) {
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

    /**
     * Checks that the spare room for a long generation is free. Only the usual size stays booked: the spare room is booked
     * and released at once. An engine that states a limit is spared these requests.
     */
    private void checkSpareRoom(BookingRequest request, Endpoint engine, String id) {
        if (request.finished() || request.room() == 0 || engine.limits().limited()) {
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

    /** Receives an engine's answer to a booking. */
    private interface BookingListener {
        void booked(String id);

        void full();

        void failed(CallFailure failure);
    }

    private void book(Endpoint engine, int tokens, BookingListener listener) {
        ReplyCollector reply = new ReplyCollector(
                MAX_REPLY_BYTES,
                (head, body) -> {
                    String text = ReplyCollector.text(body);
                    body.release();
                    Optional<String> id =
                            head.status().code() == 200 ? context.protocol().bookingId(text) : Optional.empty();
                    id.ifPresentOrElse(listener::booked, listener::full);
                },
                listener::failed);
        engine.sendControl(
                context.protocol().bookMemory(tokens, BOOKING_LIFETIME_MILLIS), ANSWER_TIMEOUT_MILLIS, reply);
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
        engine.health().recordFailure(context.now());
        refusals.put(engine, new Refusal(context.now(), 0));
        logger.atInfo().log(
                "event=booking-failed service=%s endpoint=%s kind=%s detail=\"%s\"",
                service, engine.member().id(), failure.kind(), failure.detail());
        checkQueue();
    }

    /** Releases a booking that will not be used. */
    void release(Endpoint engine, String id) {
        control(engine, context.protocol().releaseBooking(id), "release");
    }

    /** Drops a KV cache that will not be used. */
    void dropKv(Endpoint engine, String handle) {
        control(engine, context.protocol().dropKv(handle), "drop-kv");
    }

    private void control(Endpoint engine, FullHttpRequest request, String what) {
        if (engine.limits().limited()) {
            // Bookings and KV caches expire soon by themselves; the engine is spared the request.
            request.release();
            return;
        }
        engine.sendControl(
                request,
                RELEASE_TIMEOUT_MILLIS,
                new ReplyCollector(
                        MAX_REPLY_BYTES,
                        (head, body) -> body.release(),
                        failure -> logger.atInfo().log(
                                "event=%s-failed endpoint=%s kind=%s",
                                what, engine.member().id(), failure.kind())));
    }
}
