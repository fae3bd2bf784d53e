package org.quetzalseam.gateway.operator;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.quetzalseam.gateway.http.ListeningSockets;

/** Serves readiness checks and pages of plain text, such as the metrics, on addresses of their own. */
public final class OperatorServer {
    private final EventLoop loop;
    private final BooleanSupplier ready;
    private final Map<String, Supplier<String>> pages = new HashMap<>();

    /**
     * Creates a server.
     *
     * @param loop the event loop that it runs on
     * @param ready whether the process is ready; this answers requests for every path that is not a page
     */
    public OperatorServer(EventLoop loop, BooleanSupplier ready) {
        this.loop = loop;
        this.ready = ready;
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
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec()).addLast(new RequestHandler());
                    }
                });
        return ListeningSockets.localAddress(ListeningSockets.bind(bootstrap, address));
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpRequest request) {
                answer(ctx, request);
            }
        }

        private void answer(ChannelHandlerContext ctx, HttpRequest request) {
            Supplier<String> page = pages.get(request.uri());
            boolean isReady = ready.getAsBoolean();
            HttpResponseStatus status =
                    page != null || isReady ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
            String text = page != null ? page.get() : isReady ? "ready\n" : "not ready\n";
            DefaultFullHttpResponse reply = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            reply.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
            HttpUtil.setContentLength(reply, reply.content().readableBytes());
            boolean keep = HttpUtil.isKeepAlive(request);
            HttpUtil.setKeepAlive(reply, keep);
            var written = ctx.writeAndFlush(reply);
            if (!keep) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close().addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
        }
    }
}
