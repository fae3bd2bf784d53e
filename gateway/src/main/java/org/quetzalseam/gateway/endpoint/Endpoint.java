package org.quetzalseam.gateway.endpoint;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.fleet.EndpointHealth;
import org.quetzalseam.core.fleet.Member;
import org.quetzalseam.core.fleet.RejectionBackoff;
import org.quetzalseam.core.limits.IdleLimit;
import org.quetzalseam.gateway.http.CallFailure;
import org.quetzalseam.gateway.http.Connector;
import org.quetzalseam.gateway.http.HttpConnection;
import org.quetzalseam.gateway.http.ReplyListener;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.protocol.ReplyFacts;
import org.quetzalseam.gateway.runtime.Timers;

/**
 * One incarnation of an endpoint as seen by this entry: kept connections, calls in flight and health record. Used on the event
 * loop only.
 *
 * <p>An endpoint that restarts under its id has lost all previous state, so it gets a new object. Everything tied to one
 * incarnation (bookings, KV caches, load, health record) belongs to its object and ends with it. Nothing is sent through the
 * object of an ended incarnation, because it would reach the next one.
 *
 * <p>Control calls, which run no request, use connections of their own, so that a late reply to a request is never mistaken for
 * a reply to one of them.
 */
public final class Endpoint {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Maximum number of control connections; when all are in use, further control calls fail as not connected. */
    private static final int MAX_CONTROL_CONNECTIONS = 8;

    /**
     * How long replies that an ended incarnation has already sent are still accepted, in milliseconds: many round trips inside
     * a region, and a small part of any time limit.
     */
    private static final long FINAL_REPLIES_MILLIS = 300;

    private final Connector connector;
    private final Timers timers;
    private final InetSocketAddress address;
    private final EndpointHealth health = new EndpointHealth();
    private final RejectionBackoff workRejections = new RejectionBackoff(0);
    private final RejectionBackoff cacheRejections = new RejectionBackoff(1);
    private final IdleLimit idleLimit = new IdleLimit();
    private final KeptConnections connections = new KeptConnections(idleLimit);
    private final KeptConnections controlConnections = new KeptConnections(idleLimit);
    private final ConnectionReuse reuse = new ConnectionReuse();
    private final PeerDisconnects peerDisconnects = new PeerDisconnects();
    private final Set<EndpointCall> callsInFlight = new HashSet<>();
    private final Misdirection misdirection = new Misdirection();
    private final Protocol protocol;
    private final LimitRecord limits;
    private final CrashCheck crashCheck;
    private Member member;
    private int maxConnections = Integer.MAX_VALUE;
    private int outstanding;
    private boolean listed = true;
    private boolean ended;

    Endpoint(Connector connector, Protocol protocol, Member member, EndpointListener listener) {
        this.connector = connector;
        this.protocol = protocol;
        this.limits = new LimitRecord(member.id(), () -> listener.limitLifted(this));
        this.timers = new Timers(connector.loop());
        this.member = member;
        this.address = new InetSocketAddress(member.host(), member.port());
        this.crashCheck = new CrashCheck(
                timers, () -> this.member.draining(), () -> openConnection(null), listener::unplannedEnd);
    }

    /** Returns the endpoint's registration as the platform lists it. */
    public Member member() {
        return member;
    }

    void member(Member updated) {
        if (updated.stage() != member.stage()) {
            workRejections.recordAcceptance();
        }
        if (!updated.equals(member)) {
            misdirection.clear();
        }
        member = updated;
    }

    /** Returns whether this incarnation has ended because the endpoint has restarted. */
    public boolean ended() {
        return ended;
    }

    /** Returns whether the platform lists this incarnation and it is not draining. */
    boolean takesNewWork() {
        return listed && !ended && !member.draining();
    }

    /** Returns whether the registration has recently proved wrong, so that every request sent to it would be rejected. */
    boolean misdirected() {
        return misdirection.recent(timers.now());
    }

    private void recordHead(HttpResponse head) {
        ReplyFacts facts = protocol.facts(head);
        misdirection.record(facts, timers.now());
        limits.record(facts, timers.now());
    }

    /** Returns the limit that the endpoint states in its answers. */
    public LimitRecord limits() {
        return limits;
    }

    /** Returns the health record of this incarnation. */
    public EndpointHealth health() {
        return health;
    }

    /** Returns the record of the endpoint's recent rejections of work sent to it. */
    public RejectionBackoff workRejections() {
        return workRejections;
    }

    /** Returns the record of recent rejections by other engines of generations that used a KV cache of this one. */
    public RejectionBackoff cacheRejections() {
        return cacheRejections;
    }

    /** Returns whether other engines are preferred because of recent rejections. */
    public boolean excluded(long now) {
        return workRejections.isExcluded(now) || cacheRejections.isExcluded(now);
    }

    /** Returns the number of this entry's requests that the endpoint has not yet answered completely. */
    public int outstanding() {
        return outstanding;
    }

    /** Sets the maximum number of connections that this entry may have open to the endpoint. */
    void maxConnections(int maximum) {
        maxConnections = maximum;
    }

    /** Returns whether one more request can be sent without exceeding the maximum number of connections. */
    public boolean hasFreeConnection() {
        return connections.hasIdle() || connections.open() + controlConnections.open() < maxConnections;
    }

    /** Closes the idle connections that may not be used any more, except the one used last. */
    void closeExpiredConnections() {
        connections.closeExpired();
        controlConnections.closeExpired();
    }

    /**
     * Sends a request.
     *
     * @param request the request's head
     * @param body the request's body; released when it has been written or cannot be sent
     * @param id the id that the reply must carry; if empty, any reply is accepted
     * @param replies receives the reply
     */
    public EndpointCall send(HttpRequest request, ByteBuf body, String id, ReplyListener replies) {
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        outstanding++;
        EndpointCall call = new EndpointCall(
                request, body, id.isEmpty() ? null : id, replies, this::recordHead, this::requestEnded);
        callsInFlight.add(call);
        if (ended) {
            timers.soon(() -> failRestarted(call));
            return call;
        }
        // Without an id, a repeated reply to an earlier request on the connection would be taken for the reply to this
        // one.
        HttpConnection reused = id.isEmpty() ? null : connections.pollFor(id);
        if (reused != null) {
            call.begin(reused);
            return call;
        }
        if (connections.open() + controlConnections.open() >= maxConnections) {
            // None of the idle ones suits this request, which would otherwise add one to the maximum.
            connections.closeLongestIdle();
        }
        openConnection(call);
        return call;
    }

    /**
     * Runs a call if it shows that this incarnation has crashed: a connection to it was lost, and no other one can be opened, or it
     * is known to have restarted. If the endpoint goes on or drains, the call is dropped.
     */
    public void ifCrashed(Runnable call) {
        crashCheck.ifCrashed(call);
    }

    /** Opens a connection and begins the call on it; without a call, keeps it for later ones. */
    private void openConnection(@Nullable EndpointCall call) {
        connections.recordOpening();
        connector.connect(
                address,
                this::connectionIdle,
                this::connectionClosed,
                outcome(call, this::takesNewWork, this::connectionIdle, connections));
    }

    private ConnectOutcome outcome(
            @Nullable EndpointCall call,
            BooleanSupplier mayBegin,
            Consumer<HttpConnection> onUnused,
            KeptConnections kept) {
        return new ConnectOutcome(crashCheck, peerDisconnects, call, mayBegin, onUnused, kept::recordNotOpened);
    }

    /**
     * Sends a control call, which runs no request: a booking, a load report or a stage order.
     *
     * @param request the complete request
     * @param limitMillis the time limit for the reply, in milliseconds; without one an unanswered call would hold its connection
     *     forever
     * @param replies receives the reply
     */
    public EndpointCall sendControl(FullHttpRequest request, long limitMillis, ReplyListener replies) {
        EndpointCall call = startControl(request, replies);
        timers.after(limitMillis, call::expire);
        return call;
    }

    /**
     * Sends a control call over the connection that carried an earlier one, or not at all. A connection does not outlive the
     * process at its other end, so the call can only reach the incarnation of the endpoint that answered the earlier call.
     *
     * @param earlier a control call that has been answered
     * @param request the complete request
     * @param limitMillis the time limit for the reply, in milliseconds
     * @param replies receives the reply
     * @return whether the call was sent; if not, the listener is not called
     */
    public boolean sendControlAfter(
            EndpointCall earlier, FullHttpRequest request, long limitMillis, ReplyListener replies) {
        HttpConnection earlierConnection = earlier.connection();
        if (ended || earlierConnection == null || !controlConnections.poll(earlierConnection)) {
            request.release();
            return false;
        }
        EndpointCall call = controlCall(request, replies);
        call.begin(earlierConnection);
        timers.after(limitMillis, call::expire);
        return true;
    }

    private EndpointCall controlCall(FullHttpRequest request, ReplyListener replies) {
        request.headers().set(HttpHeaderNames.HOST, member.address());
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        // The connection writes head and body separately; a full request as the head would end the message twice.
        HttpRequest head =
                new DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(), request.headers());
        EndpointCall call =
                new EndpointCall(head, request.content(), null, replies, this::recordHead, callsInFlight::remove);
        callsInFlight.add(call);
        return call;
    }

    private EndpointCall startControl(FullHttpRequest request, ReplyListener replies) {
        EndpointCall call = controlCall(request, replies);
        if (ended) {
            failRestarted(call);
            return call;
        }
        HttpConnection reused = controlConnections.poll();
        if (reused != null) {
            call.begin(reused);
            return call;
        }
        if (controlConnections.open() >= MAX_CONTROL_CONNECTIONS) {
            call.failUnsent(new CallFailure(CallFailure.Kind.NOT_CONNECTED, "all control connections are in use"));
            return call;
        }
        controlConnections.recordOpening();
        connector.connect(
                address,
                this::controlConnectionIdle,
                this::controlConnectionClosed,
                outcome(call, () -> !ended, this::controlConnectionIdle, controlConnections));
        return call;
    }

    private void connectionClosed(HttpConnection connection) {
        connections.recordClosed(connection);
        learnFrom(connection);
    }

    private void controlConnectionClosed(HttpConnection connection) {
        controlConnections.recordClosed(connection);
        learnFrom(connection);
    }

    /** Takes note of how a connection was closed. */
    private void learnFrom(HttpConnection connection) {
        checkStrayBytes(connection);
        if (connection.closedByPeer()) {
            peerDisconnects.record(System.nanoTime());
        }
        if (connection.lostAfterIdle()) {
            idleLimit.recordLoss(connection.idleNanosBeforeRequest(), System.nanoTime());
            logger.atInfo().log(
                    "event=connection-forgotten endpoint=%s rested_ms=%d",
                    member.id(), TimeUnit.NANOSECONDS.toMillis(connection.idleNanosBeforeRequest()));
        }
    }

    private void connectionIdle(HttpConnection connection) {
        keepIdle(connection, connections);
    }

    private void controlConnectionIdle(HttpConnection connection) {
        keepIdle(connection, controlConnections);
    }

    private void checkStrayBytes(HttpConnection connection) {
        if (connection.receivedStrayBytes() && reuse.recordStrayBytes(timers.now())) {
            logger.atInfo().log("event=connections-not-kept endpoint=%s", member.id());
            close();
        }
    }

    private void keepIdle(HttpConnection connection, KeptConnections kept) {
        checkStrayBytes(connection);
        if (ended || !listed || !reuse.allowed(timers.now())) {
            connection.abort();
        } else {
            kept.keep(connection);
        }
    }

    private void requestEnded(EndpointCall call) {
        outstanding--;
        callsInFlight.remove(call);
    }

    private static void failRestarted(EndpointCall call) {
        call.failUnsent(new CallFailure(CallFailure.Kind.NOT_CONNECTED, "the endpoint has restarted"));
    }

    /**
     * Ends this incarnation. Calls that have been sent may have run; their replies are accepted for a short time, because they
     * can only be in transit already. Calls that have not been sent fail as soon as this method has returned. Calls on a
     * connection that was opened after the endpoint had disconnected may be with the next incarnation, so they continue.
     */
    void endIncarnation() {
        ended = true;
        close();
        crashCheck.restarted();
        timers.soon(() ->
                List.copyOf(callsInFlight).stream().filter(call -> !call.sent()).forEach(Endpoint::failRestarted));
        timers.after(FINAL_REPLIES_MILLIS, this::failUnanswered);
    }

    private void failUnanswered() {
        long now = System.nanoTime();
        List<EndpointCall> lost = callsInFlight.stream()
                .filter(call -> !peerDisconnects.precede(call.connectedAt(), now))
                .toList();
        logger.atInfo().log(
                "event=endpoint-life-over endpoint=%s start_ms=%d lost=%d going_on=%d",
                member.id(), member.startMillis(), lost.size(), callsInFlight.size() - lost.size());
        lost.forEach(EndpointCall::failRestarted);
    }

    /** Ends new work because the platform lists this incarnation no longer; calls in flight continue. */
    void delist() {
        listed = false;
        close();
    }

    private void close() {
        connections.closeIdle();
        controlConnections.closeIdle();
    }

    /** Returns an empty request body. */
    public static ByteBuf emptyBody() {
        return Unpooled.EMPTY_BUFFER;
    }
}
