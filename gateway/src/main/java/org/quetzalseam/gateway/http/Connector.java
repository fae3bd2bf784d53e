package org.quetzalseam.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.quetzalseam.http.ReplyDecoder;

/** Opens HTTP connections on one event loop. */
public final class Connector {
    /**
     * How long a connection may take to open, in milliseconds: some hundred round trips inside a region, and far below any
     * latency objective.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    /** Longest status line and longest header section of a reply, in bytes. */
    private static final int MAX_HEAD_BYTES = 64 * 1024;
    /** Largest part of a body that is decoded at once, in bytes. */
    private static final int MAX_CHUNK_BYTES = 16 * 1024;

    private static final HttpDecoderConfig DECODER_CONFIG = new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_HEAD_BYTES)
            .setMaxHeaderSize(MAX_HEAD_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES);

    /** Most memory for all replies that are kept until they are complete, in bytes: a sixth of the heap as deployed. */
    public static final long MAX_REPLY_MEMORY = 16 * 1024 * 1024;
    /** Part of a smaller heap than the deployed one. */
    private static final double REPLY_MEMORY_SHARE = 0.2;

    private final EventLoop loop;
    private final String idHeader;
    private final ReplyMemory memory =
            new ReplyMemory(replyMemory(Runtime.getRuntime().maxMemory()));

    /** Returns how much memory all replies may take that are kept, in a process with such a limit of the heap. */
    static long replyMemory(long heapBytes) {
        return Math.min(MAX_REPLY_MEMORY, (long) (heapBytes * REPLY_MEMORY_SHARE));
    }

    /**
     * Creates a connector.
     *
     * @param loop the event loop that all connections run on
     * @param idHeader the header in which replies repeat the request's id
     */
    public Connector(EventLoop loop, String idHeader) {
        this.loop = loop;
        this.idHeader = idHeader;
    }

    /** Returns the event loop that all connections run on. */
    public EventLoop loop() {
        return loop;
    }

    /** Returns how many bytes of replies are kept until the replies are complete. */
    public long keptReplyBytes() {
        return memory.used();
    }

    /** Receives the outcome of an attempt to connect. */
    public interface ConnectListener {
        /** Called when the connection is open. */
        void connected(HttpConnection connection);

        /** Called when no connection could be opened. */
        void failed(CallFailure failure);
    }

    /**
     * Opens a connection.
     *
     * @param address the address to connect to
     * @param onIdle called when the connection has carried an exchange and can carry another
     * @param onClosed called when an opened connection has closed
     * @param listener receives the outcome
     */
    public void connect(
            InetSocketAddress address,
            Consumer<HttpConnection> onIdle,
            Consumer<HttpConnection> onClosed,
            ConnectListener listener) {
        ReplyDecoder decoder = new ReplyDecoder(DECODER_CONFIG);
        HttpConnection connection = new HttpConnection(idHeader, decoder, memory, onIdle, onClosed);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder())
                                .addLast(decoder)
                                .addLast(connection);
                    }
                });
        ChannelFuture connecting = bootstrap.connect(address);
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                listener.connected(connection);
            } else {
                listener.failed(new CallFailure(CallFailure.Kind.NOT_CONNECTED, String.valueOf(done.cause())));
            }
        });
    }
}
