package org.quetzalseam.gateway.operator;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.http.BoundedConnections;
import org.quetzalseam.gateway.http.ConnectionLimits;
import org.quetzalseam.gateway.http.LimitListener;
import org.quetzalseam.gateway.http.ListeningSockets;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.http.AnswerEncoder;
import org.quetzalseam.http.RequestDecoder;

/**
 * Serves readiness checks and pages of plain text, such as the metrics, on addresses of their own. The next request of a connection is
 * answered once the answer before it has been written.
 */
// A write or close that fails closes the connection.
@SuppressWarnings("FutureReturnValueIgnored")
public final class OperatorServer {
    /** Longest request line, and longest header section, in bytes; nothing of either is used but the path. */
    private static final int MAX_HEAD_BYTES = 8 * 1024;
    /** Longest body that is read and ignored, in bytes. */
    private static final int MAX_BODY_BYTES = 64 * 1024;
    /** Time after which a connection is closed on which no answer has been read whole, in milliseconds. */
    private static final long MAX_IDLE_MILLIS = 60_000;

    private static final long IDLE_CHECK_MILLIS = 1_000;

    private static final HttpDecoderConfig DECODER_CONFIG =
            new HttpDecoderConfig().setMaxInitialLineLength(MAX_HEAD_BYTES).setMaxHeaderSize(MAX_HEAD_BYTES);

    private final EventLoop loop;
    private final BooleanSupplier ready;
    private final int mostConnections;
    private final LimitListener onLimit;
    private final Map<String, Supplier<String>> pages = new HashMap<>();

    /**
     * Creates a server.
     *
     * @param loop the event loop that it runs on
     * @param ready whether the process is ready; this answers requests for every path that is not a page
     * @param limits bounds the connections to each address
     * @param onLimit is told when the limit is reached
     */
    public OperatorServer(EventLoop loop, BooleanSupplier ready, ConnectionLimits limits, LimitListener onLimit) {
        this.loop = loop;
        this.ready = ready;
        this.mostConnections = limits.operators();
        this.onLimit = onLimit;
    }

    /** Adds a page of plain text, such as the metrics. To be called before {@link #start}. */
    public void addPage(String path, Supplier<String> text) {
        pages.put(path, text);
    }

    /**
     * Starts to listen on an address, and may be called for several. Blocks until the socket is bound, and returns the address
     * with the port in use.
     */
    public InetSocketAddress start(InetSocketAddress address) {
        BoundedConnections connections = new BoundedConnections("operator-connections", mostConnections, onLimit);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, ListeningSockets.receiveBuffers())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        RequestDecoder decoder = new RequestDecoder(DECODER_CONFIG);
                        channel.pipeline()
                                .addLast(new AnswerEncoder(decoder))
                                .addLast(decoder)
                                .addLast(new RequestHandler(connections, decoder));
                    }
                });
        Channel listener = ListeningSockets.bind(bootstrap, address);
        new Timers(loop).every(IDLE_CHECK_MILLIS, () -> connections.closeWithoutProgress(MAX_IDLE_MILLIS));
        return ListeningSockets.localAddress(listener);
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final BoundedConnections connections;
        private final RequestDecoder decoder;
        private @Nullable HttpRequest request;
        private int bodyBytes;

        RequestHandler(BoundedConnections connections, RequestDecoder decoder) {
            this.connections = connections;
            this.decoder = decoder;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.opened(ctx.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.closed(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message.decoderResult().isFailure()) {
                answer(ctx, HttpResponseStatus.BAD_REQUEST, "not a request that can be read\n", false);
                return;
            }
            if (message instanceof HttpRequest head) {
                request = head;
                bodyBytes = 0;
            }
            if (message instanceof HttpContent part) {
                bodyBytes += part.content().readableBytes();
            }
            HttpRequest received = request;
            if (bodyBytes > MAX_BODY_BYTES) {
                ctx.close();
            } else if (message instanceof LastHttpContent && received != null) {
                answer(ctx, received);
            }
        }

        private void answer(ChannelHandlerContext ctx, HttpRequest received) {
            Supplier<String> page = pages.get(received.uri());
            boolean isReady = ready.getAsBoolean();
            HttpResponseStatus status =
                    page != null || isReady ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
            String text = page != null ? page.get() : isReady ? "ready\n" : "not ready\n";
            answer(ctx, status, text, HttpUtil.isKeepAlive(received));
        }

        private void answer(ChannelHandlerContext ctx, HttpResponseStatus status, String text, boolean keep) {
            DefaultFullHttpResponse reply = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            reply.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
            HttpUtil.setContentLength(reply, reply.content().readableBytes());
            HttpUtil.setKeepAlive(reply, keep);
            ChannelFuture written = ctx.writeAndFlush(reply);
            written.addListener(done -> answered(ctx));
            if (!keep) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        private void answered(ChannelHandlerContext ctx) {
            connections.progressed(ctx.channel());
            decoder.next();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close().addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
        }
    }
}
