package org.quetzalseam.gateway.caller;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
 * One connection of a caller. Requests are read whole, then answered one after the other. Used on its event loop only.
 *
 * <p>It keeps reading while an answer is under way: only so does it learn at once that the caller has gone.
 */
// A write or close that fails is reported through the channel's pipeline, where it is handled.
@SuppressWarnings("FutureReturnValueIgnored")
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Requests that may wait behind the one in progress; past that the caller isn't read until one is answered. */
    private static final int MAX_PIPELINED = 8;

    private final CallerServer server;
    private final Deque<Exchange> pipelined = new ArrayDeque<>();
    private final Channel channel;
    private @Nullable Exchange current;
    private @Nullable HttpRequest head;
    private @Nullable ByteBuf body;
    private boolean discarding;
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

    /** Notes that bytes have come: from now on a header section is due. */
    void bytesArrived() {
        if (!receiving && current == null) {
            receiving = true;
            idleSince = System.nanoTime();
        }
    }

    /** Closes the connection when it has been quiet for longer than the limits allow. */
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

    /** A caller who doesn't read an answer is quiet too. */
    private void closeIfAnswerUnread(Exchange exchange, long now) {
        long limit = TimeUnit.MILLISECONDS.toNanos(server.limits().idleMillis());
        if (exchange.ended() && now - exchange.endedAt() > limit) {
            channel.close();
        }
    }

    /** Returns whether nothing is asked or being asked on the connection, nor has been for the given time. */
    boolean idleFor(long nanos, long now) {
        boolean idle = current == null && pipelined.isEmpty() && !receiving && head == null;
        return idle && now - idleSince > nanos;
    }

    /** Returns whether a request has begun to come and isn't whole yet. */
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
        if (!server.mayAcceptBody(length)) {
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many bodies are being read");
            return;
        }
        head = request;
        body = length > 0 ? channel.alloc().buffer((int) length) : Unpooled.buffer(0);
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void receiveContent(HttpContent content) {
        HttpRequest request = head;
        ByteBuf collected = body;
        if (discarding || request == null || collected == null) {
            content.release();
            return;
        }
        if (collected.readableBytes() + content.content().readableBytes()
                > server.limits().bodyBytes()) {
            content.release();
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is longer than allowed");
            return;
        }
        collected.writeBytes(content.content());
        content.release();
        if (content instanceof LastHttpContent) {
            head = null;
            body = null;
            receiving = false;
            requestReceived(request, collected);
        }
    }

    private void requestReceived(HttpRequest request, ByteBuf collected) {
        Exchange exchange = new Exchange(channel, request, collected, server.facts(request), this::exchangeEnded);
        if (processStopping) {
            exchange.discard();
            return;
        }
        if (current != null) {
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

    /** Asks for the connection to be closed after the answer in progress, if its head isn't written yet. */
    void closeAfterCurrent() {
        Exchange exchange = current;
        if (exchange != null) {
            exchange.closeAfterAnswer();
        }
    }

    /** The process ends: what is being answered ends now, what waits behind it or still comes is never begun. */
    void endForShutdown() {
        processStopping = true;
        // What waits goes quietly: closing for its sake would take the connection from the answer before it.
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
        // On a turn of its own, as the answer may be given from within the arrival of the next request.
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
        ByteBuf unused = body;
        if (unused != null) {
            unused.release();
        }
        head = null;
        body = null;
        if (discarding) {
            return;
        }
        discarding = true;
        if (current != null) {
            // The answer in progress goes first; the caller learns of this fault by the connection's end.
            current.closeAfterAnswer();
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
        channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
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
        ByteBuf unused = body;
        if (unused != null) {
            unused.release();
            body = null;
        }
        Exchange exchange = current;
        if (exchange != null) {
            exchange.callerDisconnected();
        }
        dropPipelined();
    }
}
