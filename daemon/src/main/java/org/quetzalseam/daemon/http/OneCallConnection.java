package org.quetzalseam.daemon.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandler;
import java.net.http.HttpResponse.BodySubscriber;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * A connection that carries one call and closes when its answer is whole, or when the call fails. Used on its event loop only, except
 * where stated otherwise.
 *
 * @param <T> type of the answer's body
 */
// A write or close that fails is reported through the channel's pipeline, where it is handled.
@SuppressWarnings("FutureReturnValueIgnored")
final class OneCallConnection<T> extends ChannelInboundHandlerAdapter implements Flow.Subscription {
    /** Bytes of the body that may wait for the handler; with more, reading pauses. */
    private static final int MOST_WAITING_BYTES = 1 << 20;

    private final HttpRequest request;
    private final BodyHandler<T> handler;
    private final Executor executor;
    private final AtomicInteger waitingBytes = new AtomicInteger();
    private final CompletableFuture<HttpResponse<T>> response = new CompletableFuture<>();
    private CompletableFuture<Void> handled = CompletableFuture.completedFuture(null);
    private volatile @Nullable Channel channel;
    private @Nullable ChannelFuture written;
    private io.netty.handler.codec.http.@Nullable HttpResponse head;
    private @Nullable BodySubscriber<T> body;
    private boolean skipping;
    private boolean ended;

    /** Creates a connection whose answer is handled by an executor's threads, one part after the other. */
    OneCallConnection(HttpRequest request, BodyHandler<T> handler, Executor executor) {
        this.request = request;
        this.handler = handler;
        this.executor = executor;
        response.whenComplete((whole, failure) -> {
            if (failure != null) {
                cancel();
            }
        });
    }

    /** Returns the answer, which is completed by a thread of the executor. May be called by any thread. */
    CompletableFuture<HttpResponse<T>> response() {
        return response;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /** Sends the request, unless its answer is no longer waited for. */
    void send(FullHttpRequest encoded) {
        Channel opened = channel;
        if (opened == null || response.isDone()) {
            encoded.release();
            cancel();
            return;
        }
        written = opened.writeAndFlush(encoded);
    }

    @Override
    public void request(long parts) {
        // Parts are delivered as they arrive.
    }

    /** Closes the connection. May be called by any thread. */
    @Override
    public void cancel() {
        Channel opened = channel;
        if (opened != null) {
            opened.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (ended) {
                return;
            }
            if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
                fail(new IOException(
                        "not a whole answer: " + part.decoderResult().cause()));
                return;
            }
            if (message instanceof io.netty.handler.codec.http.HttpResponse received) {
                receiveHead(received);
            }
            if (message instanceof HttpContent content) {
                receiveBody(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void receiveHead(io.netty.handler.codec.http.HttpResponse received) {
        skipping = received.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (skipping) {
            return;
        }
        head = received;
        int status = received.status().code();
        HttpHeaders headers = Answer.headers(received.headers());
        BodySubscriber<T> subscriber = handler.apply(info(status, headers));
        body = subscriber;
        handle(() -> subscriber.onSubscribe(this));
        subscriber.getBody().whenComplete((value, failure) -> {
            if (failure == null) {
                response.complete(new Answer<>(request, status, headers, value));
            } else {
                response.completeExceptionally(failure);
            }
        });
    }

    private static HttpResponse.ResponseInfo info(int status, HttpHeaders headers) {
        return new HttpResponse.ResponseInfo() {
            @Override
            public int statusCode() {
                return status;
            }

            @Override
            public HttpHeaders headers() {
                return headers;
            }

            @Override
            public HttpClient.Version version() {
                return HttpClient.Version.HTTP_1_1;
            }
        };
    }

    private void receiveBody(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        io.netty.handler.codec.http.HttpResponse received = head;
        BodySubscriber<T> subscriber = body;
        if (skipping || received == null || subscriber == null) {
            skipping = skipping && !last;
            return;
        }
        if (content.content().isReadable()) {
            deliver(ByteBufUtil.getBytes(content.content()), subscriber);
        }
        if (last && !isFramed(received) && !requestWritten()) {
            // The decoder makes the same end of a connection that a failed write has closed.
            fail(new IOException("closed while the request was being written"));
        } else if (last) {
            ended = true;
            cancel();
            handle(subscriber::onComplete);
        }
    }

    private void deliver(byte[] part, BodySubscriber<T> subscriber) {
        if (waitingBytes.addAndGet(part.length) > MOST_WAITING_BYTES) {
            setReading(false);
        }
        handle(() -> {
            try {
                subscriber.onNext(List.of(ByteBuffer.wrap(part)));
            } finally {
                if (waitingBytes.addAndGet(-part.length) == 0) {
                    setReading(true);
                }
            }
        });
    }

    private void setReading(boolean reading) {
        Channel opened = channel;
        if (opened != null) {
            opened.config().setAutoRead(reading);
        }
    }

    private static boolean isFramed(io.netty.handler.codec.http.HttpResponse received) {
        return HttpUtil.isContentLengthSet(received) || HttpUtil.isTransferEncodingChunked(received);
    }

    private boolean requestWritten() {
        ChannelFuture request = written;
        return request != null && request.isSuccess();
    }

    private void handle(Runnable task) {
        handled = handled.thenRunAsync(task, executor).exceptionally(failure -> {
            response.completeExceptionally(failure);
            return null;
        });
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail(new IOException("the connection was closed before the end of the answer"));
    }

    /** Fails the call unless its answer is whole. */
    void fail(Throwable cause) {
        if (ended) {
            return;
        }
        ended = true;
        cancel();
        BodySubscriber<T> subscriber = body;
        handle(() -> {
            if (subscriber != null) {
                subscriber.onError(cause);
            }
            response.completeExceptionally(cause);
        });
    }
}
