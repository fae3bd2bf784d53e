package org.quetzalseam.gateway.endpoint;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.fleet.EndpointHealth;
import org.quetzalseam.core.fleet.Member;
import org.quetzalseam.core.fleet.RejectionBackoff;
import org.quetzalseam.core.limits.IdleLimit;
import org.quetzalseam.gateway.http.CallFailure;
import org.quetzalseam.gateway.http.Connector;
import org.quetzalseam.gateway.http.HttpConnection;
import org.quetzalseam.gateway.http.ReplyListener;
import org.quetzalseam.gateway.runtime.Timers;

/**
 * One life of an endpoint as this entry sees it: kept connections, work under way, and record. Used on the event loop only.
 *
 * <p>An endpoint that starts again under its id holds and knows nothing of before, so it gets a new object. Whatever rests on
 * one life (bookings, KV caches, load, record) is kept by this object and ends with it; nothing is sent through the object of
 * a life that is over, as it would reach the next.
 *
 * <p>Calls that run nothing go over connections of their own, so that a late reply to a request is never taken for theirs.
 */
public final class Endpoint {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How much sooner than the endpoint a kept connection is given up, so that a request doesn't cross its closing. */
    private static final long IDLE_TIMEOUT_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** How long an idle connection is used when the endpoint doesn't say how long it keeps it. */
    private static final long DEFAULT_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);
    /** Control calls that wait for a connection; past that an engine is treated as unreachable. */
    private static final int MAX_CONTROL_CONNECTIONS = 8;

    /**
     * How long replies of an ended life that were on their way are still taken, in milliseconds: many round trips inside a
     * region, and a small part of any time limit.
     */
    private static final long FINAL_REPLIES_MILLIS = 300;

    /**
     * How long an endpoint is left out after its address was answered by another, or by it in another stage, in milliseconds:
     * about what the store takes to list a start or a change of stage.
     */
    private static final long MISDIRECTED_EXCLUSION_MILLIS = 2_000;

    private final Connector connector;
    private final Timers timers;
    private final InetSocketAddress address;
    private final EndpointHealth health = new EndpointHealth();
    private final RejectionBackoff workRejections = new RejectionBackoff(0);
    private final RejectionBackoff cacheRejections = new RejectionBackoff(1);
    private final Deque<HttpConnection> idleConnections = new ArrayDeque<>();
    private final Deque<HttpConnection> idleControlConnections = new ArrayDeque<>();
    private final IdleLimit idleLimit = new IdleLimit();
    private final PeerDisconnects peerDisconnects = new PeerDisconnects();
    private final Set<EndpointCall> callsInFlight = new HashSet<>();
    private Member member;
    private int maxConnections = Integer.MAX_VALUE;
    private int openConnections;
    private int openControlConnections;
    private int outstanding;
    private boolean ended;
    private boolean misdirected;
    private long misdirectedAt;

    Endpoint(Connector connector, Member member) {
        this.connector = connector;
        this.timers = new Timers(connector.loop());
        this.member = member;
        this.address = new InetSocketAddress(member.host(), member.port());
    }

    /** Returns what the platform lists of the endpoint. */
    public Member member() {
        return member;
    }

    void member(Member renewed) {
        if (renewed.stage() != member.stage()) {
            workRejections.recordAcceptance();
        }
        misdirected = misdirected && renewed.equals(member);
        member = renewed;
    }

    /** Returns whether this life of the endpoint is over: it has started again. */
    public boolean ended() {
        return ended;
    }

    /**
     * Returns whether its registration has just been found not to be true: who answered at its address was another endpoint,
     * or it is in another stage. All that it is sent would come back.
     */
    boolean misdirected() {
        return misdirected
                && timers.now() - misdirectedAt < TimeUnit.MILLISECONDS.toNanos(MISDIRECTED_EXCLUSION_MILLIS);
    }

    private void noteMisdirected(HttpResponse head) {
        if (head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
            misdirected = true;
            misdirectedAt = timers.now();
        }
    }

    /** Returns its record. */
    public EndpointHealth health() {
        return health;
    }

    /** Returns how it has lately turned work away that it was sent. */
    public RejectionBackoff workRejections() {
        return workRejections;
    }

    /** Returns how generations have lately been turned away elsewhere that were to go on from a KV cache of its. */
    public RejectionBackoff cacheRejections() {
        return cacheRejections;
    }

    /** Returns whether other engines are to be used before it. */
    public boolean excluded(long now) {
        return workRejections.isExcluded(now) || cacheRejections.isExcluded(now);
    }

    /** Returns how many requests of this entry it has. */
    public int outstanding() {
        return outstanding;
    }

    /** Sets how many connections this entry may have open. */
    void maxConnections(int most) {
        maxConnections = most;
    }

    /** Returns whether one more request can be sent without a connection too many. */
    public boolean hasFreeConnection() {
        return !idleConnections.isEmpty() || openConnections + openControlConnections < maxConnections;
    }

    /**
     * Sends a request.
     *
     * @param request its head
     * @param body its body; released when it has been written or can't be sent
     * @param id the id that the reply must bear; where it is empty, any reply is the right one
     * @param replies takes the reply
     */
    public EndpointCall send(HttpRequest request, ByteBuf body, String id, ReplyListener replies) {
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        outstanding++;
        EndpointCall call = new EndpointCall(
                request, body, id.isEmpty() ? null : id, replies, this::noteMisdirected, this::requestEnded);
        callsInFlight.add(call);
        if (ended) {
            timers.soon(() -> failRestarted(call));
            return call;
        }
        HttpConnection kept = pollUsable(idleConnections);
        if (kept != null) {
            call.begin(kept);
            return call;
        }
        openConnections++;
        connector.connect(address, this::connectionIdle, this::connectionClosed, new Connector.ConnectListener() {
            @Override
            public void connected(HttpConnection connection) {
                if (ended || !call.begin(connection)) {
                    connectionIdle(connection);
                }
            }

            @Override
            public void failed(CallFailure failure) {
                openConnections--;
                peerDisconnects.record(System.nanoTime());
                call.failUnsent(failure);
            }
        });
        return call;
    }

    /**
     * Sends a call that runs nothing: a booking, a report, an order.
     *
     * @param request the whole call
     * @param limitMillis how long the reply may take; a call without one would hold its connection for good
     * @param replies takes the reply
     */
    public EndpointCall sendControl(FullHttpRequest request, long limitMillis, ReplyListener replies) {
        EndpointCall call = startControl(request, replies);
        timers.after(limitMillis, call::expire);
        return call;
    }

    /**
     * Sends a call that runs nothing over the connection that carried an earlier one, or not at all. A connection doesn't
     * outlive the process at its other end: so the call can only reach the life of the endpoint that answered the earlier.
     *
     * @param earlier a call that has been answered
     * @param request the whole call
     * @param limitMillis how long the reply may take
     * @param replies takes the reply
     * @return whether the call was sent; otherwise the listener hears nothing
     */
    public boolean sendControlAfter(
            EndpointCall earlier, FullHttpRequest request, long limitMillis, ReplyListener replies) {
        HttpConnection proved = earlier.connection();
        if (ended || proved == null || !idleControlConnections.remove(proved)) {
            request.release();
            return false;
        }
        idleControlConnections.addFirst(proved);
        if (pollUsable(idleControlConnections) != proved) {
            request.release();
            return false;
        }
        EndpointCall call = controlCall(request, replies);
        call.begin(proved);
        timers.after(limitMillis, call::expire);
        return true;
    }

    private EndpointCall controlCall(FullHttpRequest request, ReplyListener replies) {
        request.headers().set(HttpHeaderNames.HOST, member.address());
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        // The connection writes head and body apart; a full request as its head would end the message twice.
        HttpRequest head =
                new DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(), request.headers());
        EndpointCall call =
                new EndpointCall(head, request.content(), null, replies, this::noteMisdirected, callsInFlight::remove);
        callsInFlight.add(call);
        return call;
    }

    private EndpointCall startControl(FullHttpRequest request, ReplyListener replies) {
        EndpointCall call = controlCall(request, replies);
        if (ended) {
            failRestarted(call);
            return call;
        }
        HttpConnection kept = pollUsable(idleControlConnections);
        if (kept != null) {
            call.begin(kept);
            return call;
        }
        if (openControlConnections >= MAX_CONTROL_CONNECTIONS) {
            call.failUnsent(new CallFailure(CallFailure.Kind.NOT_CONNECTED, "all control connections are in use"));
            return call;
        }
        openControlConnections++;
        connector.connect(
                address, this::controlConnectionIdle, this::controlConnectionClosed, new Connector.ConnectListener() {
                    @Override
                    public void connected(HttpConnection connection) {
                        if (ended || !call.begin(connection)) {
                            controlConnectionIdle(connection);
                        }
                    }

                    @Override
                    public void failed(CallFailure failure) {
                        openControlConnections--;
                        peerDisconnects.record(System.nanoTime());
                        call.failUnsent(failure);
                    }
                });
        return call;
    }

    private void connectionClosed(HttpConnection connection) {
        openConnections--;
        ended(connection, idleConnections);
    }

    private void controlConnectionClosed(HttpConnection connection) {
        openControlConnections--;
        ended(connection, idleControlConnections);
    }

    private void ended(HttpConnection connection, Deque<HttpConnection> kept) {
        kept.remove(connection);
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
        keepIdle(connection, idleConnections);
    }

    private void controlConnectionIdle(HttpConnection connection) {
        keepIdle(connection, idleControlConnections);
    }

    private void keepIdle(HttpConnection connection, Deque<HttpConnection> kept) {
        if (ended) {
            connection.abort();
        } else {
            kept.addFirst(connection);
        }
    }

    private @Nullable HttpConnection pollUsable(Deque<HttpConnection> connections) {
        long now = System.nanoTime();
        long longest = idleLimit.limitNanos(now);
        while (true) {
            HttpConnection connection = connections.pollFirst();
            if (connection == null) {
                return null;
            }
            long rest = now - connection.idleSince();
            if (connection.open() && rest < Math.min(longest, maxIdleNanos(connection))) {
                return connection;
            }
            connection.abort();
        }
    }

    private static long maxIdleNanos(HttpConnection connection) {
        long stated = connection.peerIdleTimeoutNanos();
        if (stated == Long.MAX_VALUE) {
            return DEFAULT_IDLE_NANOS;
        }
        return Math.max(stated - IDLE_TIMEOUT_MARGIN_NANOS, stated / 2);
    }

    private void requestEnded(EndpointCall call) {
        outstanding--;
        callsInFlight.remove(call);
    }

    private static void failRestarted(EndpointCall call) {
        call.failUnsent(new CallFailure(CallFailure.Kind.NOT_CONNECTED, "the endpoint has started again"));
    }

    /**
     * Ends this life. What has been sent may have run, and its answer can only be on its way already; what has not been sent
     * is told so at once. Callers hear of either after this call has returned. What is under way on a connection that was
     * opened after the life's end had shown is with the next life, and goes on.
     */
    void endIncarnation() {
        ended = true;
        close();
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

    /** Closes idle connections; what is under way goes on. */
    void close() {
        List.copyOf(idleConnections).forEach(HttpConnection::abort);
        List.copyOf(idleControlConnections).forEach(HttpConnection::abort);
        idleConnections.clear();
        idleControlConnections.clear();
    }

    /** Returns an empty body. */
    public static ByteBuf emptyBody() {
        return Unpooled.EMPTY_BUFFER;
    }
}
