package org.quetzalseam.daemon.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandler;
import java.net.http.HttpResponse.BodySubscribers;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.Flow;
import java.util.concurrent.TimeUnit;
import org.quetzalseam.daemon.HttpClients;
import org.quetzalseam.http.ReplyDecoder;
import org.quetzalseam.wire.runtime.Threads;

/**
 * Makes HTTP calls, each over a connection of its own, so that a second copy of an answer never arrives where another call's answer is
 * due. The JDK's client keeps connections and can't be kept from it. The timeout of a request is that of its whole answer. TLS is not
 * supported. Thread-safe.
 */
public final class OneCallClient {
    /** Enough, because the thread only moves bytes; answers are handled by other threads. */
    private static final int IO_THREADS = 1;

    private static final int HTTP_PORT = 80;
    /** Longest status line and longest header section of an answer, in bytes. */
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    private static final HttpDecoderConfig DECODER_CONFIG =
            new HttpDecoderConfig().setMaxInitialLineLength(MAX_HEAD_BYTES).setMaxHeaderSize(MAX_HEAD_BYTES);
    /** Shared by all clients, because a client has no end at which it could stop its threads. */
    private static final EventLoopGroup LOOP = new NioEventLoopGroup(IO_THREADS, Threads.named("one-call-client"));

    private static final Executor HANDLERS = Executors.newCachedThreadPool(Threads.named("answer-handler"));

    /**
     * Creates a client of the server at a base address.
     *
     * @throws IllegalArgumentException if the address requires TLS
     */
    public OneCallClient(String base) {
        if (!"http".equalsIgnoreCase(URI.create(base).getScheme())) {
            throw new IllegalArgumentException("expected an address that begins with http://, found " + base);
        }
    }

    /** Makes a call and waits for its answer. */
    public <T> HttpResponse<T> send(HttpRequest request, BodyHandler<T> handler)
            throws IOException, InterruptedException {
        CompletableFuture<HttpResponse<T>> response = sendAsync(request, handler);
        try {
            return response.get();
        } catch (InterruptedException e) {
            response.cancel(true);
            throw e;
        } catch (ExecutionException e) {
            throw new IOException(String.valueOf(e.getCause()), e.getCause());
        }
    }

    /**
     * Makes a call. The body is delivered as it arrives, whatever the subscriber's demand. If no connection could be opened, the
     * future fails with a {@link ConnectException}.
     */
    public <T> CompletableFuture<HttpResponse<T>> sendAsync(HttpRequest request, BodyHandler<T> handler) {
        OneCallConnection<T> connection = new OneCallConnection<>(request, handler, HANDLERS);
        ReplyDecoder decoder = new ReplyDecoder(DECODER_CONFIG);
        decoder.expectReplyTo(HttpMethod.valueOf(request.method()));
        new Bootstrap()
                .group(LOOP)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) HttpClients.CONNECT_TIMEOUT.toMillis())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder())
                                .addLast(decoder)
                                .addLast(connection);
                    }
                })
                .connect(address(request.uri()))
                .addListener(done -> {
                    if (done.isSuccess()) {
                        connection.send(encode(request));
                    } else {
                        connection.fail(new ConnectException(String.valueOf(done.cause())));
                    }
                });
        CompletableFuture<HttpResponse<T>> response = connection.response();
        request.timeout().ifPresent(limit -> response.orTimeout(limit.toMillis(), TimeUnit.MILLISECONDS));
        return response;
    }

    private static InetSocketAddress address(URI uri) {
        return new InetSocketAddress(uri.getHost(), uri.getPort() < 0 ? HTTP_PORT : uri.getPort());
    }

    private static FullHttpRequest encode(HttpRequest request) {
        URI uri = request.uri();
        String path = uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
        FullHttpRequest encoded = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                uri.getRawQuery() == null ? path : path + "?" + uri.getRawQuery(),
                Unpooled.wrappedBuffer(body(request)));
        request.headers().map().forEach(encoded.headers()::set);
        encoded.headers()
                .set(HttpHeaderNames.HOST, uri.getRawAuthority())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (request.bodyPublisher().isPresent()) {
            encoded.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, encoded.content().readableBytes());
        }
        return encoded;
    }

    private static byte[] body(HttpRequest request) {
        HttpResponse.BodySubscriber<byte[]> bytes = BodySubscribers.ofByteArray();
        request.bodyPublisher().ifPresentOrElse(publisher -> publisher.subscribe(listOf(bytes)), bytes::onComplete);
        return bytes.getBody().toCompletableFuture().join();
    }

    private static Flow.Subscriber<ByteBuffer> listOf(Flow.Subscriber<List<ByteBuffer>> subscriber) {
        return new Flow.Subscriber<>() {
            @Override
            public void onSubscribe(Flow.Subscription subscription) {
                subscriber.onSubscribe(subscription);
            }

            @Override
            public void onNext(ByteBuffer item) {
                subscriber.onNext(List.of(item));
            }

            @Override
            public void onError(Throwable failure) {
                subscriber.onError(failure);
            }

            @Override
            public void onComplete() {
                subscriber.onComplete();
            }
        };
    }
}
