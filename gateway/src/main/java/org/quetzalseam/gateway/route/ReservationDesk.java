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
final class ReservationDesk {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How long an engine that refused isn't asked again for as much, in nanoseconds: a few engine steps. */
    private static final long ASK_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
    /**
     * The same for those who are late already, in nanoseconds: so much longer that a place that gets free is nearly always
     * found first by someone, at this entry or another, whose answer can still be in time.
     */
    private static final long ASK_AGAIN_LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /** How often those who wait are looked at, in milliseconds. */
    private static final long LOOK_MILLIS = 20;
    /** How long a booking holds before its request arrives, in milliseconds: several times a prompt's reading. */
    private static final long BOOKING_MILLIS = 2_000;
    /** How long an engine may take to answer, in milliseconds: many round trips, yet a part of the latency objective. */
    private static final long ANSWER_MILLIS = 150;

    /** Bookings asked of one engine at a time: the answer to one tells what another can hope for. */
    private static final int MAX_ASKED = 2;

    /** Weight of the newest generation in the typical time: about the last twenty count. */
    private static final double NEWEST = 0.05;
    /** Time of a generation before the first one has ended, in milliseconds; it counts as much as a single one. */
    private static final double FIRST_MILLIS = 3_000;
    /** Part of the time to come back by which it is spread either way. */
    private static final double SPREAD = 0.25;

    /** How often engines that are gone are forgotten, in milliseconds. */
    private static final long FORGET_MILLIS = 10_000;
    /** Tokens by which engines hand out memory. */
    private static final int BLOCK_TOKENS = 16;

    /** How long an engine may take to confirm that something was given back, in milliseconds; it lapses by itself soon after. */
    private static final long GIVE_BACK_MILLIS = 1_000;

    private static final int MAX_REPLY_BYTES = 64 * 1024;

    private final RunContext context;
    private final String service;
    private final List<Reservation> waiting = new ArrayList<>();
    private final Map<Endpoint, Refusal> refusals = new HashMap<>();
    private final Map<Endpoint, Integer> booked = new HashMap<>();
    private final Map<Endpoint, Integer> asked = new HashMap<>();
    private final MemoryBooking booking;
    private boolean looking;
    private final PromptReaders readers;
    private final ReadingTurns turns;
    private double typicalMillis = FIRST_MILLIS;
    private int typicalOf = 1;

    /** An engine's last refusal: when, and of how many tokens. */
    private record Refusal(long at, int tokens) {}

    ReservationDesk(RunContext context, String service) {
        this.context = context;
        this.service = service;
        this.readers = new PromptReaders(context, service);
        this.turns = new ReadingTurns(context, service, readers);
        this.booking = new MemoryBooking(
                context.settings().bookedDeviations(), context.settings().admittedDeviations(), BLOCK_TOKENS);
        context.timers().every(FORGET_MILLIS, this::forgetGone);
    }

    private void forgetGone() {
        refusals.keySet().removeIf(engine -> !context.directory().usable(engine));
        booked.values().removeIf(tokens -> tokens == 0);
        asked.values().removeIf(count -> count == 0);
    }

    /** Takes a generation in; its outcome follows, never before this call returns. */
    void enter(Reservation reservation) {
        waiting.add(reservation);
        context.timers().soon(this::serve);
    }

    /** Takes a generation out that needs no memory any more. */
    void leave(Reservation reservation) {
        reservation.cancel();
        waiting.remove(reservation);
    }

    /** Returns how much memory is booked for a generation. */
    MemoryBooking booking() {
        return booking;
    }

    /** Returns who reads the prompts. */
    PromptReaders readers() {
        return readers;
    }

    /** Returns when they read them. */
    ReadingTurns turns() {
        return turns;
    }

    /** Sets among how many entries the engines are shared, and this one's place among them. */
    void entries(EntryCount counted) {
        readers.entries(counted.entries());
        turns.entries(counted);
    }

    /** Notes how long a generation took from its arrival to its end, and how many events it made. */
    void ended(long millis, RequestFacts facts, long events) {
        TokenDemand demand = facts.demand();
        if (demand != null && facts.resumesAfter() == null) {
            booking.ended(demand, (double) events);
        }
        typicalOf++;
        typicalMillis += Math.max(NEWEST, 1.0 / typicalOf) * (millis - typicalMillis);
    }

    /**
     * Returns when a refused caller finds room, in milliseconds: all that fills the engines now has ended after about the
     * time of a generation, or when the prompts before it are read, if that takes longer. Spread, so that those who were refused together don't come back together.
     */
    long comeBackMillis(double objectiveMillis) {
        double spread = 1 - SPREAD + 2 * SPREAD * ThreadLocalRandom.current().nextDouble();
        return Math.round(Math.max(typicalMillis, readers.comeBackMillis(objectiveMillis)) * spread);
    }

    /** Notes that a booking's generation has ended: its engine has room. */
    void freed(Endpoint engine, int tokens) {
        booked.merge(engine, -tokens, Integer::sum);
        refusals.remove(engine);
        if (!waiting.isEmpty()) {
            context.timers().soon(this::serve);
        }
    }

    private void serve() {
        long now = context.now();
        List<Reservation> order = new ArrayList<>(waiting);
        order.sort(Comparator.<Reservation, Boolean>comparing(reservation -> reservation.late(now))
                .thenComparingDouble(Reservation::cost));
        for (Reservation reservation : order) {
            if (reservation.over()) {
                waiting.remove(reservation);
            } else if (now - reservation.until() >= 0 && !reservation.asking()) {
                waiting.remove(reservation);
                reservation.refuse(null);
            } else if (!reservation.asking()) {
                askForRoom(reservation, now);
            }
        }
        lookAgain();
    }

    private void lookAgain() {
        if (!waiting.isEmpty() && !looking) {
            looking = true;
            context.after(LOOK_MILLIS, () -> {
                looking = false;
                serve();
            });
        }
    }

    private void askForRoom(Reservation reservation, long now) {
        List<Endpoint> engines = LeftOut.without(context.directory().usable(service, Stage.DECODE), now);
        if (engines.isEmpty()) {
            waiting.remove(reservation);
            reservation.refuse("no decode engine");
            return;
        }
        Optional<Endpoint> engine = engines.stream()
                .filter(candidate -> reservation.takes(candidate) && mayHaveRoom(candidate, reservation, now))
                .min(Comparator.<Endpoint, Boolean>comparing(
                                candidate -> candidate.health().suspect(now))
                        .thenComparingInt(candidate -> booked.getOrDefault(candidate, 0))
                        .thenComparing(candidate -> ThreadLocalRandom.current().nextInt()));
        if (engine.isEmpty() && reservation.impatient()) {
            waiting.remove(reservation);
            reservation.refuse(null);
        }
        engine.ifPresent(chosen -> ask(reservation, chosen));
    }

    private boolean mayHaveRoom(Endpoint engine, Reservation reservation, long now) {
        if (asked.getOrDefault(engine, 0) >= MAX_ASKED || !engine.reachable()) {
            return false;
        }
        Refusal refusal = refusals.get(engine);
        long pause = reservation.late(now) ? ASK_AGAIN_LATE_NANOS : ASK_AGAIN_NANOS;
        return refusal == null || now - refusal.at() > pause || reservation.tokens() < refusal.tokens();
    }

    private void ask(Reservation reservation, Endpoint engine) {
        reservation.asking(true);
        asked.merge(engine, 1, Integer::sum);
        book(engine, reservation.tokens(), new BookingOutcome() {
            @Override
            public void booked(String id) {
                askForMore(reservation, engine, id);
            }

            @Override
            public void full() {
                refused(reservation, engine);
            }

            @Override
            public void failed(CallFailure failure) {
                unanswered(reservation, engine, failure);
            }
        });
    }

    /** The usual size is booked; the room that a long one needs has to be free, but doesn't stay booked. */
    private void askForMore(Reservation reservation, Endpoint engine, String id) {
        if (reservation.over() || reservation.room() == 0) {
            granted(reservation, engine, id);
            return;
        }
        book(engine, reservation.room(), new BookingOutcome() {
            @Override
            public void booked(String room) {
                giveBack(engine, room);
                granted(reservation, engine, id);
            }

            @Override
            public void full() {
                giveBack(engine, id);
                refused(reservation, engine);
            }

            @Override
            public void failed(CallFailure failure) {
                giveBack(engine, id);
                unanswered(reservation, engine, failure);
            }
        });
    }

    /** What an engine answers to a booking. */
    private interface BookingOutcome {
        void booked(String id);

        void full();

        void failed(CallFailure failure);
    }

    private void book(Endpoint engine, int tokens, BookingOutcome outcome) {
        WholeReply reply = new WholeReply(
                MAX_REPLY_BYTES,
                (head, body) -> {
                    String text = WholeReply.text(body);
                    body.release();
                    Optional<String> id =
                            head.status().code() == 200 ? context.protocol().reservation(text) : Optional.empty();
                    id.ifPresentOrElse(outcome::booked, outcome::full);
                },
                outcome::failed);
        engine.control(context.protocol().reserve(tokens, BOOKING_MILLIS), ANSWER_MILLIS, reply);
    }

    private void refused(Reservation reservation, Endpoint engine) {
        answerEnds(reservation, engine);
        refusals.put(engine, new Refusal(context.now(), reservation.tokens()));
        serve();
    }

    private void granted(Reservation reservation, Endpoint engine, String id) {
        answerEnds(reservation, engine);
        if (reservation.over()) {
            giveBack(engine, id);
            return;
        }
        waiting.remove(reservation);
        booked.merge(engine, reservation.tokens(), Integer::sum);
        reservation.grant(engine, id);
    }

    private void answerEnds(Reservation reservation, Endpoint engine) {
        reservation.asking(false);
        asked.merge(engine, -1, Integer::sum);
    }

    private void unanswered(Reservation reservation, Endpoint engine, CallFailure failure) {
        answerEnds(reservation, engine);
        engine.health().failed(context.now());
        refusals.put(engine, new Refusal(context.now(), 0));
        logger.atInfo().log(
                "event=booking-failed service=%s endpoint=%s kind=%s detail=\"%s\"",
                service, engine.member().id(), failure.kind(), failure.detail());
        serve();
    }

    /** Gives a booking back that won't be used. */
    void giveBack(Endpoint engine, String id) {
        control(engine, context.protocol().release(id), "release");
    }

    /** Drops a KV cache that won't be used. */
    void dropKv(Endpoint engine, String handle) {
        control(engine, context.protocol().dropKv(handle), "drop-kv");
    }

    private void control(Endpoint engine, io.netty.handler.codec.http.FullHttpRequest request, String what) {
        engine.control(
                request,
                GIVE_BACK_MILLIS,
                new WholeReply(
                        MAX_REPLY_BYTES,
                        (head, body) -> body.release(),
                        failure -> logger.atInfo().log(
                                "event=%s-failed endpoint=%s kind=%s",
                                what, engine.member().id(), failure.kind())));
    }
}
