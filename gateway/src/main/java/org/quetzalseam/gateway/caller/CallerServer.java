package org.quetzalseam.gateway.caller;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.routing.CallerLimits;
import org.quetzalseam.gateway.http.ConnectionLimits;
import org.quetzalseam.gateway.http.LimitListener;
import org.quetzalseam.gateway.http.ListeningSockets;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.protocol.RequestFacts;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.http.AnswerEncoder;
import org.quetzalseam.http.MemoryBudget;
import org.quetzalseam.http.RequestDecoder;

/** Accepts callers' connections on one address. Used on its event loop only, except for {@link #start}. */
public final class CallerServer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How often connections are checked for time limits, in milliseconds: a tenth of the shortest limit seen in use. */
    private static final long TIME_LIMIT_CHECK_MILLIS = 500;
    /** Connections that may wait to be accepted: enough for a burst of callers while the loop is busy for some hundred ms. */
    private static final int ACCEPT_BACKLOG = 1024;
    /** Bytes queued for a slow caller above which reading from its endpoint stops, and below which it resumes. */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 * 1024, 128 * 1024);
    /** Largest part of a body that is decoded at once, in bytes. */
    private static final int MAX_CHUNK_BYTES = 16 * 1024;
    /** Longest request line, in bytes: long enough for what common clients send. */
    private static final int MAX_FIRST_LINE_BYTES = 8 * 1024;
    /**
     * Idle time after which a draining entry closes a connection, in nanoseconds: many round trips of a caller in the same
     * region.
     */
    private static final long IDLE_WHILE_DRAINING_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final EventLoop loop;
    private final Protocol protocol;
    private final CallerLimitsSupplier limits;
    private final Consumer<Exchange> router;
    private final BodyMemory bodies;
    private final MemoryBudget heads;
    private final LimitListener onLimit;
    private final CallerConnections connections;
    private @Nullable Channel listener;
    private boolean draining;
    private long drainingSince;
    private int inProgress;

    /**
     * Creates a server that listens nowhere until {@link #start} is called.
     *
     * @param loop the event loop that everything runs on
     * @param protocol the protocol that callers use
     * @param limits supplies the limits in force
     * @param router receives each request once it is complete
     */
    public CallerServer(EventLoop loop, Protocol protocol, CallerLimitsSupplier limits, Consumer<Exchange> router) {
        this(loop, protocol, limits, router, BodyMemory.ofProcess());
    }

    CallerServer(
            EventLoop loop,
            Protocol protocol,
            CallerLimitsSupplier limits,
            Consumer<Exchange> router,
            BodyMemory bodies) {
        this(loop, protocol, limits, router, bodies, ConnectionLimits.ofProcess(), LimitListener.NONE);
    }

    private CallerServer(
            EventLoop loop,
            Protocol protocol,
            CallerLimitsSupplier limits,
            Consumer<Exchange> router,
            BodyMemory bodies,
            ConnectionLimits connectionLimits,
            LimitListener onLimit) {
        this.bodies = bodies;
        this.loop = loop;
        this.protocol = protocol;
        this.limits = limits;
        this.router = router;
        this.heads = new MemoryBudget(connectionLimits.headBytes());
        this.onLimit = onLimit;
        this.connections = new CallerConnections(connectionLimits, onLimit);
    }

    /**
     * Creates a server whose connections are limited.
     *
     * @param connectionLimits bounds the connections and their memory
     * @param onLimit is told when one of these limits is reached
     */
    public static CallerServer limited(
            EventLoop loop,
            Protocol protocol,
            CallerLimitsSupplier limits,
            Consumer<Exchange> router,
            ConnectionLimits connectionLimits,
            LimitListener onLimit) {
        return new CallerServer(loop, protocol, limits, router, BodyMemory.ofProcess(), connectionLimits, onLimit);
    }

    /** Starts to listen on the address. Blocks until the socket is bound, and returns the address with the bound port. */
    public InetSocketAddress start(InetSocketAddress address) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, ListeningSockets.receiveBuffers())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initPipeline(channel);
                    }
                });
        Channel opened = ListeningSockets.bind(bootstrap, address);
        listener = opened;
        new Timers(loop).every(TIME_LIMIT_CHECK_MILLIS, this::closeTimedOut);
        return ListeningSockets.localAddress(opened);
    }

    private void initPipeline(Channel channel) {
        RequestDecoder decoder = new RequestDecoder(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_FIRST_LINE_BYTES)
                .setMaxHeaderSize(limits().headerBytes())
                .setMaxChunkSize(MAX_CHUNK_BYTES));
        CallerConnection connection = new CallerConnection(this, channel, decoder);
        channel.pipeline()
                .addLast(new BytesObserver(connection))
                .addLast(new AnswerEncoder(decoder))
                .addLast(decoder)
                .addLast(connection);
    }

    /** Tells a connection when bytes have arrived, and measures what it holds whenever that may have grown. */
    private final class BytesObserver extends ChannelDuplexHandler {
        private final CallerConnection connection;

        BytesObserver(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof ByteBuf) {
                connection.bytesArrived();
            }
            ctx.fireChannelRead(message);
            measure();
        }

        @Override
        public void flush(ChannelHandlerContext ctx) {
            ctx.flush();
            measure();
        }

        private void measure() {
            if (connection.isOpen()) {
                connections.measure(connection);
            }
        }
    }

    private void closeTimedOut() {
        long now = System.nanoTime();
        for (CallerConnection connection : connections.all()) {
            connections.measure(connection);
            connection.closeIfTimedOut(now);
        }
    }

    CallerLimits limits() {
        return limits.current();
    }

    RequestFacts facts(HttpRequest request) {
        return protocol.facts(request.headers());
    }

    boolean draining() {
        return draining;
    }

    BodyMemory bodies() {
        return bodies;
    }

    MemoryBudget heads() {
        return heads;
    }

    void limitReached(String limit) {
        onLimit.reached(limit);
    }

    /** Returns how many bytes connections hold that have been received and not decoded, or written and not read. */
    public long heldBytes() {
        return connections.held();
    }

    /** Returns how many bytes the heads of all requests in progress take, as estimated. */
    public long headBytes() {
        return heads.used();
    }

    /** Returns how many bytes the bodies of all requests take, those that are still arriving included. */
    public long bodyBytes() {
        return bodies.used();
    }

    void connectionOpened(CallerConnection connection) {
        connections.opened(connection);
    }

    void connectionClosed(CallerConnection connection) {
        connections.closed(connection);
    }

    void beginExchange(Exchange exchange, long connectionOpenedAt) {
        inProgress++;
        if (draining) {
            long now = System.nanoTime();
            logger.atInfo().log(
                    "event=taken-while-leaving request=%s since_signal_ms=%d connection_ms=%d",
                    exchange.facts().id(), millisBetween(drainingSince, now), millisBetween(connectionOpenedAt, now));
        }
        try {
            router.accept(exchange);
        } catch (Throwable e) {
            logger.atSevere().withCause(e).log(
                    "event=request-failed request=%s", exchange.facts().id());
            exchange.abort("internal error");
        }
    }

    private static long millisBetween(long earlier, long later) {
        return TimeUnit.NANOSECONDS.toMillis(later - earlier);
    }

    void exchangeEnded() {
        inProgress--;
    }

    /** Returns how many requests are being answered. */
    public int inProgress() {
        return inProgress;
    }

    /** Returns how many requests have been received only in part. */
    public int arriving() {
        return connections.arriving();
    }

    /** Returns how many connections are open. */
    public int connections() {
        return connections.count();
    }

    /** Starts to drain: each connection closes after its next answer, which announces this in its head. */
    public void startDraining() {
        if (draining) {
            return;
        }
        draining = true;
        drainingSince = System.nanoTime();
        connections.all().forEach(CallerConnection::closeAfterCurrent);
    }

    /**
     * Closes connections that have been idle for a while, so that their callers connect to other entries. A connection that was
     * just opened or used stays open, because its next request may already be on the way.
     */
    public void closeIdle() {
        long now = System.nanoTime();
        for (CallerConnection connection : connections.all()) {
            if (connection.idleFor(IDLE_WHILE_DRAINING_NANOS, now)) {
                connection.close();
            }
        }
    }

    /** Ends all requests in progress, because the process ends. */
    public void endAll() {
        for (CallerConnection connection : connections.all()) {
            try {
                connection.endForShutdown();
            } catch (Throwable e) {
                logger.atSevere().withCause(e).log("event=request-failed detail=\"at the end of the process\"");
                connection.close();
            }
        }
    }

    /** Stops accepting connections. */
    public void stopListening() {
        Channel open = listener;
        if (open != null) {
            listener = null;
            open.close()
                    .addListener(done -> logger.atInfo().log(
                            "event=listener-closed since_signal_ms=%d",
                            millisBetween(drainingSince, System.nanoTime())));
        }
    }
}
