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
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.http.HeadMemory;
import org.quetzalseam.http.RequestDecoder;

/**
 * A caller's connection. Each request is read completely before it is routed, and requests are answered one after the other.
 * Used on its event loop only.
 *
 * <p>It keeps reading while an answer is in progress, because only then does it notice at once that the caller has
 * disconnected; what it reads meanwhile is decoded when the answer has been written.
 */
// A write or close that fails is reported through the channel's pipeline, where it is handled.
@SuppressWarnings("FutureReturnValueIgnored")
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final CallerServer server;
    private final Channel channel;
    private final RequestDecoder decoder;
    private @Nullable Exchange current;
    private @Nullable HttpRequest head;
    private @Nullable ReceivedBody body;
    private boolean discarding;
    /** Whether the connection stays open until the refused body has ended, so that its caller receives the refusal. */
    private boolean closingAtBodyEnd;
    /** Bytes reserved for the body that is being received. */
    private long reserved;
    /** Bytes reserved for the head of the request that is being received. */
    private long reservedHead;

    private final HeldBytes held;

    private boolean processStopping;
    private final long openedAt = System.nanoTime();
    private long idleSince = openedAt;
    private boolean receiving;

    CallerConnection(CallerServer server, Channel channel, RequestDecoder decoder) {
        this.server = server;
        this.channel = channel;
        this.decoder = decoder;
        this.held = new HeldBytes(channel, decoder);
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
        long limitMillis =
                receiving ? server.limits().headerMillis() : server.limits().idleMillis();
        if (now - idleSince > TimeUnit.MILLISECONDS.toNanos(limitMillis)) {
            logger.atFine().log("event=caller-timed-out receiving=%s", receiving);
            channel.close();
        }
    }

    /** Closes the connection if the answer has ended and the caller has read nothing of the rest of it within the idle limit. */
    private void closeIfAnswerUnread(Exchange exchange, long now) {
        long limit = TimeUnit.MILLISECONDS.toNanos(server.limits().idleMillis());
        long stalled = Math.min(now - exchange.endedAt(), held.withoutProgress(now));
        if (exchange.ended() && stalled > limit) {
            logger.atInfo().log(
                    "event=answer-unread request=%s %s", exchange.facts().id(), held.describe(now));
            server.limitReached("unread-answer");
            channel.close();
        }
    }

    /** Returns whether no request has been in progress, waiting or being received for longer than the given time. */
    boolean idleFor(long nanos, long now) {
        boolean idle = !busy() && !receiving && head == null;
        return idle && now - idleSince > nanos;
    }

    /** Returns whether a request is in progress. */
    boolean busy() {
        return current != null;
    }

    /** Returns since when no request has been in progress, in monotonic nanoseconds. */
    long idleSince() {
        return idleSince;
    }

    long idleMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - idleSince);
    }

    /** Returns the bytes that the connection holds. */
    HeldBytes held() {
        return held;
    }

    /** Returns whether a request has been received in part but not completely. */
    boolean receiving() {
        return receiving;
    }

    boolean isOpen() {
        return channel.isActive();
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
        if (!reserveHead(request)) {
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
        body = new ReceivedBody(channel.alloc(), (int) length);
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    /** Reserves memory for the head of a request until the request ends; refuses the request if there is none. */
    private boolean reserveHead(HttpRequest request) {
        long bytes = HeadMemory.bytes(request);
        if (server.heads().tryReserve(bytes)) {
            reservedHead = bytes;
            return true;
        }
        logger.atInfo().log(
                "event=head-refused request=%s bytes=%d used=%d most=%d",
                server.facts(request).id(),
                bytes,
                server.heads().used(),
                server.heads().limit());
        server.limitReached("head-bytes");
        closingAtBodyEnd = true;
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many requests are in progress");
        return false;
    }

    /** Reserves memory for a body that takes the given bytes; refuses the request if there is none. */
    private boolean reserveBody(long length) {
        long missing = Math.max(0, length - reserved);
        if (server.bodies().tryReserve(missing, length)) {
            reserved += missing;
            return true;
        }
        logger.atInfo().log(
                "event=body-refused length=%d used=%d", length, server.bodies().used());
        server.limitReached("body-bytes");
        closingAtBodyEnd = true;
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many bodies are being read");
        return false;
    }

    private void releaseRequest() {
        ReceivedBody unused = body;
        if (unused != null) {
            unused.release();
        }
        body = null;
        server.bodies().release(reserved);
        reserved = 0;
        server.heads().release(reservedHead);
        reservedHead = 0;
    }

    private void receiveContent(HttpContent content) {
        HttpRequest request = head;
        ReceivedBody received = body;
        if (discarding || request == null || received == null) {
            content.release();
            if (closingAtBodyEnd && content instanceof LastHttpContent && current == null) {
                closeWhenWritten();
            }
            return;
        }
        int arrived = content.content().readableBytes();
        if (received.length() + arrived > server.limits().bodyBytes()) {
            content.release();
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is longer than allowed");
            return;
        }
        if (!reserveBody(received.capacityWith(arrived))) {
            content.release();
            return;
        }
        received.add(content.content());
        content.release();
        if (content instanceof LastHttpContent) {
            head = null;
            body = null;
            receiving = false;
            requestReceived(request, received.whole());
        }
    }

    private void requestReceived(HttpRequest request, ByteBuf received) {
        Exchange exchange = new Exchange(
                channel, request, received, server.facts(request), decoder.arrivedAt(), this::exchangeEnded);
        long bodyBytes = reserved;
        long headBytes = reservedHead;
        reserved = 0;
        reservedHead = 0;
        exchange.onReleased(() -> {
            server.bodies().release(bodyBytes);
            server.heads().release(headBytes);
        });
        if (processStopping) {
            exchange.discard();
            return;
        }
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
     * Ends the request in progress because the process ends. Requests that were sent ahead or arrive later are discarded unanswered.
     */
    void endForShutdown() {
        processStopping = true;
        Exchange exchange = current;
        if (exchange == null) {
            channel.close();
        } else {
            exchange.endForShutdown();
        }
    }

    private void exchangeEnded() {
        if (current == null) {
            return;
        }
        current = null;
        idleSince = System.nanoTime();
        server.exchangeEnded();
        receiving = decoder.undecodedBytes() > 0;
        decoder.next();
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
        releaseRequest();
        head = null;
        if (discarding) {
            return;
        }
        discarding = true;
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
        releaseRequest();
        Exchange exchange = current;
        if (exchange != null) {
            exchange.callerDisconnected();
        }
    }
}
