package org.quetzalseam.daemon.http;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
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
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.http.HeadMemory;
import org.quetzalseam.http.MemoryBudget;
import org.quetzalseam.http.RequestDecoder;

/** One caller's connection, which carries one exchange at a time. Used on its event loop only. */
// A write or close that fails is reported through the channel's pipeline, where it is handled.
@SuppressWarnings("FutureReturnValueIgnored")
final class ServerConnection extends ChannelInboundHandlerAdapter {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Longest time in which the next request has to arrive, in seconds; an idle connection is closed after it. */
    private static final long REQUEST_SECONDS = 60;
    /** How long a connection that is being closed still reads, so that the last answer is not lost by a reset, in seconds. */
    private static final long LINGER_SECONDS = 2;
    /** Longest rest of a request's body that is read after the answer, so that the connection can carry another, in bytes. */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;

    private final Function<String, Optional<ExchangeHandler>> handlers;
    private final Executor executor;
    private final Channel channel;
    private final RequestDecoder decoder;
    private final ServerConnections connections;
    private final MemoryBudget memory;
    private final UnreadAnswers unread;
    private final Consumer<String> onLimit;
    private volatile @Nullable ServerExchange exchange;
    private volatile long progressAt = System.nanoTime();
    private @Nullable RequestBody body;
    private @Nullable ScheduledFuture<?> requestTimer;
    private boolean answered;
    private boolean inputEnded;
    /** Whether what follows on the connection can no longer be read as requests. */
    private boolean broken;

    private boolean closing;
    private int discardedBytes;

    ServerConnection(
            Channel channel,
            RequestDecoder decoder,
            Function<String, Optional<ExchangeHandler>> handlers,
            Executor executor,
            ServerConnections connections,
            MemoryBudget memory,
            UnreadAnswers unread,
            Consumer<String> onLimit) {
        this.unread = unread;
        this.channel = channel;
        this.decoder = decoder;
        this.handlers = handlers;
        this.executor = executor;
        this.connections = connections;
        this.memory = memory;
        this.onLimit = onLimit;
    }

    /** Returns whether a request is in progress. May be called by any thread. */
    boolean busy() {
        return exchange != null;
    }

    /** Returns when the connection was opened or its last answer was written, in monotonic nanoseconds. May be called by any thread. */
    long progressAt() {
        return progressAt;
    }

    /** Closes the connection at once. May be called by any thread. */
    void close() {
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        connections.opened(this);
        awaitRequest(ctx.channel());
    }

    private void awaitRequest(Channel channel) {
        requestTimer = channel.eventLoop().schedule(() -> requestLate(channel), REQUEST_SECONDS, TimeUnit.SECONDS);
    }

    private void requestLate(Channel channel) {
        failBody("the request did not arrive within " + REQUEST_SECONDS + " s");
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (closing || !(message instanceof HttpObject part)) {
            ReferenceCountUtil.release(message);
            return;
        }
        try {
            handlePart(ctx.channel(), part);
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void handlePart(Channel channel, HttpObject part) {
        if (part.decoderResult().isFailure()) {
            malformed(channel, String.valueOf(part.decoderResult().cause()));
            return;
        }
        if (part instanceof HttpRequest request) {
            begin(channel, request);
        }
        if (part instanceof HttpContent content && body != null) {
            receive(channel, content);
        }
    }

    /** Handles what is no request, or the rest of one: nothing of it has been handed to a handler as whole. */
    private void malformed(Channel channel, String reason) {
        logger.atInfo().log("event=request-malformed peer=%s reason=\"%s\"", channel.remoteAddress(), reason);
        if (exchange == null) {
            refuse(channel, HttpResponseStatus.BAD_REQUEST);
        } else {
            failBody(reason);
            broken = true;
        }
    }

    private void refuse(Channel channel, HttpResponseStatus status) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers()
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                .set(HttpHeaderNames.CONTENT_LENGTH, 0);
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, 1);
        }
        closeAfter(channel, channel.writeAndFlush(response));
    }

    private void begin(Channel channel, HttpRequest request) {
        URI uri;
        try {
            uri = new URI(request.uri());
        } catch (URISyntaxException e) {
            refuse(channel, HttpResponseStatus.BAD_REQUEST);
            return;
        }
        String path = uri.getPath();
        Optional<ExchangeHandler> handler = path == null ? Optional.empty() : handlers.apply(path);
        if (handler.isEmpty()) {
            refuse(channel, HttpResponseStatus.NOT_FOUND);
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
        RequestMemory reserved = new RequestMemory(memory);
        if (!reserved.tryReserve(HeadMemory.bytes(request))) {
            refuseForMemory(channel, reserved);
            return;
        }
        RequestBody newBody = new RequestBody(channel, reserved);
        ServerExchange newExchange =
                new ServerExchange(channel, request, uri, newBody, unread, () -> answered(channel));
        body = newBody;
        exchange = newExchange;
        answered = false;
        discardedBytes = 0;
        try {
            executor.execute(() -> run(handler.get(), newExchange, reserved));
        } catch (RejectedExecutionException e) {
            reserved.release();
            refuse(channel, HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    /** Refuses a request that has not run because those in progress use the memory that there is. */
    private void refuseForMemory(Channel refused, RequestMemory reserved) {
        logger.atInfo().log(
                "event=request-refused limit=request-memory peer=%s %s", refused.remoteAddress(), reserved.describe());
        onLimit.accept("request-memory");
        refuse(refused, HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    private static void run(ExchangeHandler handler, ServerExchange exchange, RequestMemory reserved) {
        try {
            handler.handle(exchange);
        } catch (IOException | RuntimeException e) {
            logger.atFine().withCause(e).log("event=handler-failed uri=%s", exchange.uri());
            exchange.abort();
        } finally {
            reserved.release();
        }
    }

    private void receive(Channel channel, HttpContent content) {
        RequestBody receiving = body;
        if (receiving == null) {
            return;
        }
        if (answered) {
            discardedBytes += content.content().readableBytes();
        } else {
            receiving.add(content.content());
        }
        if (content instanceof LastHttpContent) {
            body = null;
            stopRequestTimer();
            receiving.finish();
            if (answered) {
                endExchange(channel);
            }
        } else if (discardedBytes > MAX_DISCARDED_BYTES) {
            closeAfter(channel, channel.newSucceededFuture());
        }
    }

    private void stopRequestTimer() {
        ScheduledFuture<?> timer = requestTimer;
        if (timer != null) {
            timer.cancel(false);
            requestTimer = null;
        }
    }

    private void failBody(String reason) {
        RequestBody receiving = body;
        if (receiving != null) {
            receiving.fail(reason);
        }
    }

    /** Called on the event loop when the answer of the exchange has been written whole. */
    private void answered(Channel channel) {
        ServerExchange ended = exchange;
        if (ended == null || closing || !channel.isActive()) {
            return;
        }
        answered = true;
        if (!ended.keepsConnection() || inputEnded || broken) {
            closeAfter(channel, channel.newSucceededFuture());
        } else if (body == null) {
            endExchange(channel);
        } else {
            channel.config().setAutoRead(true);
        }
    }

    private void endExchange(Channel channel) {
        exchange = null;
        progressAt = System.nanoTime();
        if (inputEnded) {
            channel.close();
            return;
        }
        awaitRequest(channel);
        decoder.next();
    }

    /**
     * Closes the connection once the last answer has been written. What the caller is still sending is read for a while, because closing
     * a connection with unread bytes may discard the answer in transit.
     */
    private void closeAfter(Channel channel, ChannelFuture lastWrite) {
        closing = true;
        decoder.discardRest();
        lastWrite.addListener(written -> {
            if (inputEnded || !written.isSuccess()) {
                channel.close();
                return;
            }
            channel.config().setAutoRead(true);
            ((DuplexChannel) channel).shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), LINGER_SECONDS, TimeUnit.SECONDS);
        });
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            inputEnded = true;
            failBody("the connection ended within the body");
            if (exchange == null || closing) {
                ctx.channel().close();
            }
        } else if (event instanceof IdleStateEvent) {
            closeIfUnread(ctx.channel());
        }
    }

    /** Closes the connection if there is something to be read, of which the client has read nothing within the limit. */
    private void closeIfUnread(Channel idle) {
        ChannelOutboundBuffer unread = idle.unsafe().outboundBuffer();
        if (unread != null && unread.totalPendingWriteBytes() > 0) {
            logger.atInfo().log(
                    "event=connection-closed limit=unread-answer peer=%s unread=%d without_progress_ms=%d",
                    idle.remoteAddress(),
                    unread.totalPendingWriteBytes(),
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - progressAt));
            onLimit.accept("unread-answer");
            idle.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        stopRequestTimer();
        failBody("the connection was closed within the body");
        closing = true;
        connections.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        logger.atFine().log(
                "event=caller-lost peer=%s reason=\"%s\"", ctx.channel().remoteAddress(), cause);
        ctx.close();
    }
}
