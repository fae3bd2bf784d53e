package org.quetzalseam.daemon.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.quetzalseam.daemon.DaemonException;
import org.quetzalseam.daemon.DaemonException.Code;
import org.quetzalseam.http.AnswerEncoder;
import org.quetzalseam.http.MemoryBudget;
import org.quetzalseam.http.RequestDecoder;
import org.quetzalseam.wire.runtime.Service;
import org.quetzalseam.wire.runtime.Threads;

/**
 * Serves HTTP; each request has a thread of the executor. Thread-safe.
 *
 * <p>The JDK's own server takes the headers that have arrived when a connection ends for the whole head of a request. Here a request is
 * handed to its handler only after the end of its head, and a body that stops before its stated end fails to be read.
 */
public final class ExchangeServer implements Service {
    private static final int BACKLOG = 1024;
    private static final int IO_THREADS = 2;
    private static final int LEAST_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 * 1024;
    /** Most bytes that are read from a connection before reading can be stopped. */
    private static final int MOST_READ_BYTES = 16 * 1024;
    /** Longest request line, and longest header section, of a request, in bytes. */
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    private static final HttpDecoderConfig DECODER_CONFIG =
            new HttpDecoderConfig().setMaxInitialLineLength(MAX_HEAD_BYTES).setMaxHeaderSize(MAX_HEAD_BYTES);

    private final EventLoopGroup loops = new NioEventLoopGroup(IO_THREADS, Threads.named("http-server"));
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final Map<String, ExchangeHandler> handlers = new ConcurrentHashMap<>();
    private final Channel listener;

    /**
     * Creates a server that listens, but answers only after it is started.
     *
     * @param host the address to listen on
     * @param port the port to listen on; 0 selects any free port
     * @param executor runs the handlers
     */
    public ExchangeServer(String host, int port, Executor executor) {
        this(host, port, executor, ServerLimits.ofCallers(ServerLimits.defaultConnections(), limit -> {}));
    }

    /**
     * Creates a server that listens, but answers only after it is started.
     *
     * @param host the address to listen on
     * @param port the port to listen on; 0 selects any free port
     * @param executor runs the handlers
     * @param limits bounds the connections
     */
    public ExchangeServer(String host, int port, Executor executor, ServerLimits limits) {
        ServerConnections counted = new ServerConnections(limits);
        MemoryBudget memory = MemoryBudget.ofHeap(limits.memoryShare());
        UnreadAnswers unread = new UnreadAnswers(memory.limit(), limits.onLimit());
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // A caller may close its side after a whole request and wait for the answer.
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(LEAST_READ_BYTES, FIRST_READ_BYTES, MOST_READ_BYTES))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        RequestDecoder decoder = new RequestDecoder(DECODER_CONFIG);
                        channel.pipeline()
                                .addLast(new IdleStateHandler(
                                        true, 0, limits.unread().toMillis(), 0, TimeUnit.MILLISECONDS))
                                .addLast(new AnswerEncoder(decoder))
                                .addLast(decoder)
                                .addLast(new ServerConnection(
                                        channel,
                                        decoder,
                                        ExchangeServer.this::handler,
                                        executor,
                                        counted,
                                        memory,
                                        unread,
                                        limits.onLimit()));
                    }
                });
        listener = bind(bootstrap, host, port);
    }

    private Channel bind(ServerBootstrap bootstrap, String host, int port) {
        ChannelFuture binding =
                bootstrap.bind(new InetSocketAddress(host, port)).awaitUninterruptibly();
        if (!binding.isSuccess()) {
            stopLoops();
            Throwable cause = binding.cause();
            String reason = cause == null ? "unknown reason" : String.valueOf(cause.getMessage());
            throw new DaemonException(Code.CANNOT_LISTEN, host + ":" + port + ": " + reason, cause);
        }
        return binding.channel();
    }

    /** Sets the handler of all paths that begin with the given one; of several, the longest counts. */
    public void handle(String path, ExchangeHandler handler) {
        handlers.put(path, handler);
    }

    private Optional<ExchangeHandler> handler(String path) {
        return handlers.entrySet().stream()
                .filter(entry -> path.startsWith(entry.getKey()))
                .max(Comparator.comparingInt(entry -> entry.getKey().length()))
                .map(Map.Entry::getValue);
    }

    @Override
    public void start() {
        listener.config().setAutoRead(true);
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Stops to listen and closes all connections. */
    @Override
    public void stop() {
        listener.close().awaitUninterruptibly();
        connections.close().awaitUninterruptibly();
        stopLoops();
    }

    private void stopLoops() {
        Future<?> unused = loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
