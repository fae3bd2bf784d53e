package org.quetzalseam.gateway.caller;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * A caller's connection. Each request is read completely before it is routed, and requests are answered one after the other.
 * Used on its event loop only.
 *
 * <p>It keeps reading while an answer is in progress, because only then does it notice at once that the caller has
 * disconnected.
 */
// A write or close that fails is reported through the channel's pipeline, where it is handled.
@SuppressWarnings("FutureReturnValueIgnored")
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Pipelined requests that may wait behind the one in progress; at this number reading stops until one is answered. */
    private static final int MAX_PIPELINED = 8;

    private final CallerServer server;
    private final Deque<Exchange> pipelined = new ArrayDeque<>();
    private final Channel channel;
    private @Nullable Exchange current;
    private @Nullable HttpRequest head;
    private @Nullable ByteBuf body;
    private boolean discarding;
    /** Whether the connection stays open until the refused body has ended, so that its caller receives the refusal. */
    private boolean closingAtBodyEnd;
    /** Bytes reserved for the body that is being received. */
    private long reserved;

    private boolean processStopping;
    private final long openedAt = System.nanoTime();
    private long idleSince = openedAt;
    private boolean receiving;

    CallerConnection(CallerServer server, Channel channel) {
        this.server = server;
        this.channel = channel;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        server.connectionOpened(this);
    }

    /** Notes that bytes have arrived. On an idle connection the time limit for the header section starts. */
    void bytesArrived() {
        if (!receiving && current == null) {
            receiving = true;
            idleSince = System.nanoTime();
        }
    }

    /**
     * Closes the connection if it has been idle, a request has been received only in part, or a finished answer has been unread
     * for longer than the limits allow.
     */
    void closeIfTimedOut(long now) {
        Exchange exchange = current;
        if (exchange != null) {
            closeIfAnswerUnread(exchange, now);
            return;
        }
        if (!pipelined.isEmpty()) {
            return;
        }
        long limitMillis =
                receiving ? server.limits().headerMillis() : server.limits().idleMillis();
        if (now - idleSince > TimeUnit.MILLISECONDS.toNanos(limitMillis)) {
            logger.atFine().log("event=caller-timed-out receiving=%s", receiving);
            channel.close();
        }
    }

    /** Closes the connection if the answer has ended and the caller has not read the rest of it within the idle limit. */
    private void closeIfAnswerUnread(Exchange exchange, long now) {
        long limit = TimeUnit.MILLISECONDS.toNanos(server.limits().idleMillis());
        if (exchange.ended() && now - exchange.endedAt() > limit) {
            channel.close();
        }
    }

    /** Returns whether no request has been in progress, waiting or being received for longer than the given time. */
    boolean idleFor(long nanos, long now) {
        boolean idle = current == null && pipelined.isEmpty() && !receiving && head == null;
        return idle && now - idleSince > nanos;
    }

    /** Returns whether a request has been received in part but not completely. */
    boolean receiving() {
        return receiving;
    }

    void close() {
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            refuseMalformed(part.decoderResult().cause());
            return;
        }
        if (message instanceof HttpRequest request) {
            receiveHead(request);
        }
        if (message instanceof HttpContent content) {
            receiveContent(content);
        }
    }

    private void receiveHead(HttpRequest request) {
        receiving = true;
        if (discarding) {
            return;
        }
        long length = HttpUtil.getContentLength(request, 0L);
        if (length > server.limits().bodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is longer than allowed");
            return;
        }
        if (!reserveBody(length)) {
            return;
        }
        head = request;
        body = length > 0 ? channel.alloc().buffer((int) length) : Unpooled.buffer(0);
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    /** Reserves memory for a body of the given length so far; refuses the request if there is none. */
    private boolean reserveBody(long length) {
        long missing = Math.max(0, length - reserved);
        if (server.bodies().tryReserve(missing, length)) {
            reserved += missing;
            return true;
        }
        logger.atInfo().log(
                "event=body-refused length=%d used=%d", length, server.bodies().used());
        closingAtBodyEnd = true;
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many bodies are being read");
        return false;
    }

    private void releaseBody() {
        ByteBuf unused = body;
        if (unused != null) {
            unused.release();
        }
        body = null;
        server.bodies().release(reserved);
        reserved = 0;
    }

    private void receiveContent(HttpContent content) {
        HttpRequest request = head;
        ByteBuf received = body;
        if (discarding || request == null || received == null) {
            content.release();
            if (closingAtBodyEnd && content instanceof LastHttpContent && current == null) {
                closeWhenWritten();
            }
            return;
        }
        if (received.readableBytes() + content.content().readableBytes()
                > server.limits().bodyBytes()) {
            content.release();
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is longer than allowed");
            return;
        }
        if (!reserveBody(received.readableBytes() + content.content().readableBytes())) {
            content.release();
            return;
        }
        received.writeBytes(content.content());
        content.release();
        if (content instanceof LastHttpContent) {
            head = null;
            body = null;
            receiving = false;
            requestReceived(request, received);
        }
    }

    private void requestReceived(HttpRequest request, ByteBuf received) {
        Exchange exchange = new Exchange(channel, request, received, server.facts(request), this::exchangeEnded);
        long bytes = reserved;
        reserved = 0;
        exchange.onBodyReleased(() -> server.bodies().release(bytes));
        if (processStopping) {
            exchange.discard();
            return;
        }
        // The next waiting request begins in a task of its own, which one that arrives before it must not overtake.
        if (current != null || !pipelined.isEmpty()) {
            pipelined.addLast(exchange);
            if (pipelined.size() >= MAX_PIPELINED) {
                channel.config().setAutoRead(false);
            }
            return;
        }
        begin(exchange);
    }

    private void begin(Exchange exchange) {
        current = exchange;
        if (server.draining()) {
            exchange.closeAfterAnswer();
        }
        server.beginExchange(exchange, openedAt);
    }

    /** Closes the connection after the answer in progress, which announces this if its head has not been written yet. */
    void closeAfterCurrent() {
        Exchange exchange = current;
        if (exchange != null) {
            exchange.closeAfterAnswer();
        }
    }

    /**
     * Ends the request in progress because the process ends. Requests that wait behind it or arrive later are discarded
     * unanswered.
     */
    void endForShutdown() {
        processStopping = true;
        // Waiting requests are discarded without closing the connection, because the answer in progress still needs it.
        dropPipelined();
        Exchange exchange = current;
        if (exchange == null) {
            channel.close();
        } else {
            exchange.endForShutdown();
        }
    }

    private void dropPipelined() {
        pipelined.forEach(Exchange::discard);
        pipelined.clear();
    }

    private void exchangeEnded() {
        if (current == null) {
            return;
        }
        current = null;
        idleSince = System.nanoTime();
        server.exchangeEnded();
        if (discarding) {
            channel.close();
            return;
        }
        // Runs as a task of its own, because the answer may be given while the next request is being received.
        channel.eventLoop().execute(this::beginNext);
    }

    private void beginNext() {
        if (current != null || !channel.isActive()) {
            return;
        }
        Exchange next = pipelined.pollFirst();
        if (next == null) {
            return;
        }
        channel.config().setAutoRead(true);
        begin(next);
    }

    private void refuseMalformed(Throwable cause) {
        logger.atInfo().log("event=malformed-request cause=%s", cause);
        refuse(
                cause instanceof TooLongFrameException
                        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                        : HttpResponseStatus.BAD_REQUEST,
                "not a request that can be read");
    }

    private void refuse(HttpResponseStatus status, String text) {
        releaseBody();
        head = null;
        if (discarding) {
            return;
        }
        discarding = true;
        if (current != null) {
            // The answer in progress is completed first. The caller learns of this request's failure from the closed
            // connection.
            current.closeAfterAnswer();
            return;
        }
        if (!pipelined.isEmpty()) {
            // An answer now would be taken for that to the first waiting request, which has not begun.
            closeWhenWritten();
            return;
        }
        DefaultFullHttpResponse answer = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                status,
                Unpooled.copiedBuffer(text + "\n", java.nio.charset.StandardCharsets.UTF_8));
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
        answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            answer.headers().set(HttpHeaderNames.RETRY_AFTER, 1);
        }
        ChannelFuture written = channel.writeAndFlush(answer);
        if (!closingAtBodyEnd) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void closeWhenWritten() {
        dropPipelined();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        Exchange exchange = current;
        if (exchange != null) {
            exchange.writabilityChanged();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            logger.atWarning().withCause(cause).log("event=caller-connection-failed");
        }
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.connectionClosed(this);
        releaseBody();
        Exchange exchange = current;
        if (exchange != null) {
            exchange.callerDisconnected();
        }
        dropPipelined();
    }
}
