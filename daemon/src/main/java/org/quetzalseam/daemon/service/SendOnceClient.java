package org.quetzalseam.daemon.service;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Deque;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.daemon.HttpClients;
import org.quetzalseam.daemon.service.ServiceException.Code;
import org.quetzalseam.http.ReplyDecoder;
import org.quetzalseam.wire.connection.Connection;
import org.quetzalseam.wire.message.Call;
import org.quetzalseam.wire.runtime.Service;
import org.quetzalseam.wire.runtime.Threads;

/**
 * Makes HTTP calls and never repeats one. An idempotent call may use a connection that an earlier one has left open, if the service
 * echoes the ids of calls; any other call has a connection of its own. Thread-safe.
 *
 * <p>The JDK's client cannot do this. It keeps a connection open unless the answer announces that it will be closed,
 * whatever the request asked for: a call that is then sent while the service closes the connection gets no answer
 * although it may have run. And it repeats an idempotent call whose connection breaks, so that a call during which the
 * service ended fails as if it had not been sent.
 */
final class SendOnceClient implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /**
     * Enough, because an endpoint serves one service, and one thread copies its answers as fast as loopback delivers
     * them.
     */
    private static final int IO_THREADS = 1;
    /** Longest status line and longest header section of an answer, in bytes. */
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    private static final HttpDecoderConfig DECODER_CONFIG =
            new HttpDecoderConfig().setMaxInitialLineLength(MAX_HEAD_BYTES).setMaxHeaderSize(MAX_HEAD_BYTES);
    /** Methods whose requests state a length though their body is empty. */
    private static final Set<String> METHODS_WITH_BODY = Set.of("POST", "PUT", "PATCH");

    private final InetSocketAddress address;
    private final String host;
    private final EventLoopGroup loop = new NioEventLoopGroup(IO_THREADS, Threads.named("service-client"));
    private final Deque<ServiceConnection> idle = new ConcurrentLinkedDeque<>();
    private final AnswerMemory memory = AnswerMemory.ofProcess(Connection::queuedBytesOfProcess);

    SendOnceClient(URI base) {
        this.address = new InetSocketAddress(base.getHost(), base.getPort());
        this.host = base.getHost() + ":" + base.getPort();
    }

    @Override
    public void start() {
        // Connections are opened when calls need them.
    }

    @Override
    public void stop() {
        Future<?> unused = loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /**
     * Makes a call. The future fails with a {@link ServiceException}.
     *
     * @throws IllegalArgumentException if the call cannot be expressed in HTTP
     */
    CompletableFuture<ServiceAnswer> call(Call call) {
        long limitMillis = Math.max(1, call.timeoutMillis());
        FullHttpRequest request = request(call);
        CompletableFuture<ServiceAnswer> answer = new CompletableFuture<>();
        ServiceConnection kept = call.idempotent() ? pollIdle() : null;
        if (kept != null) {
            kept.send(request, answer);
        } else {
            connect(request, answer, call.idempotent());
        }
        return answer.orTimeout(limitMillis, TimeUnit.MILLISECONDS).exceptionallyCompose(failure -> {
            boolean timedOut = HttpClients.cause(failure) instanceof TimeoutException;
            return CompletableFuture.failedFuture(
                    timedOut
                            ? new ServiceException(Code.TIMEOUT, "the service did not answer in time", failure)
                            : failure);
        });
    }

    private @Nullable ServiceConnection pollIdle() {
        ServiceConnection kept = idle.pollLast();
        while (kept != null && !kept.open()) {
            kept = idle.pollLast();
        }
        return kept;
    }

    private FullHttpRequest request(Call call) {
        if (call.path().chars().anyMatch(character -> character <= ' ' || character == '\u007f')) {
            throw new IllegalArgumentException("expected a path without blanks and control characters");
        }
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.method()),
                call.path(),
                Unpooled.wrappedBuffer(call.body()));
        HttpServiceClient.forwardedHeaders(call).forEach(request.headers()::set);
        request.headers().set(HttpHeaderNames.HOST, host);
        request.headers().set(ServiceConnection.CALL_ID, UUID.randomUUID().toString());
        if (call.body().length > 0 || METHODS_WITH_BODY.contains(call.method())) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        }
        if (!call.idempotent()) {
            request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return request;
    }

    private void connect(FullHttpRequest request, CompletableFuture<ServiceAnswer> answer, boolean reusable) {
        ReplyDecoder decoder = new ReplyDecoder(DECODER_CONFIG);
        ServiceConnection connection = new ServiceConnection(
                decoder, memory, reusable ? idle::addLast : ServiceConnection::close, idle::remove);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
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
                });
        try {
            ChannelFuture connecting = bootstrap.connect(address);
            connecting.addListener(done -> {
                if (done.isSuccess()) {
                    connection.send(request, answer);
                } else {
                    failNotRun(answer, done.cause());
                }
            });
        } catch (RejectedExecutionException | IllegalStateException e) {
            failNotRun(answer, e);
        }
    }

    private static void failNotRun(CompletableFuture<ServiceAnswer> answer, @Nullable Throwable cause) {
        String reason = cause == null ? "no connection" : String.valueOf(cause.getMessage());
        logger.atFine().log("event=service-not-reached reason=\"%s\"", reason);
        answer.completeExceptionally(
                new ServiceException(Code.NOT_RUN, "the service gave no answer: " + reason, cause));
    }
}
