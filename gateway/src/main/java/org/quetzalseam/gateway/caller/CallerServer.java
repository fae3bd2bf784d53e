package org.quetzalseam.gateway.caller;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.routing.CallerLimits;
import org.quetzalseam.gateway.http.ListeningSockets;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.protocol.RequestFacts;
import org.quetzalseam.gateway.runtime.Timers;

/** Takes callers' connections on one address. Used on its event loop only, but for {@link #start}. */
public final class CallerServer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How often connections are checked for time limits: a tenth of the shortest limit seen in use. */
    private static final long TIME_LIMIT_CHECK_MILLIS = 500;
    /** Connections that may wait to be accepted: a burst of callers while the loop is busy for some hundred ms. */
    private static final int ACCEPT_BACKLOG = 1024;
    /** Bytes queued for a slow caller above which its endpoint isn't read, and below which it is read again. */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 * 1024, 128 * 1024);
    /** Largest piece of a body read at once, in bytes. */
    private static final int MAX_CHUNK_BYTES = 16 * 1024;
    /** Longest first line, in bytes: what common clients send. */
    private static final int MAX_FIRST_LINE_BYTES = 8 * 1024;
    /** Longest declared body that is taken at once while many are being read, in bytes. */
    private static final long LARGE_BODY_BYTES = 1024 * 1024;
    /** Requests under way above which large bodies are refused, to bound the memory they take. */
    private static final int BUSY_REQUESTS = 200;
    /** Rest after which a leaving entry closes a connection, in nanoseconds: many round trips of a caller in the same region. */
    private static final long IDLE_WHILE_DRAINING_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final EventLoop loop;
    private final Protocol protocol;
    private final CallerLimitsSupplier limits;
    private final Consumer<Exchange> router;
    private final Set<CallerConnection> connections = new HashSet<>();
    private @Nullable Channel listener;
    private boolean draining;
    private long drainingSince;
    private int inProgress;

    /**
     * Creates a server; {@link #start} opens it.
     *
     * @param loop the event loop that everything runs on
     * @param protocol how requests are written
     * @param limits the limits in force
     * @param router takes each request that is whole
     */
    public CallerServer(EventLoop loop, Protocol protocol, CallerLimitsSupplier limits, Consumer<Exchange> router) {
        this.loop = loop;
        this.protocol = protocol;
        this.limits = limits;
        this.router = router;
    }

    /** Listens on the address. Blocks until it does, and returns the address with its real port. */
    public InetSocketAddress start(InetSocketAddress address) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
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
        CallerConnection connection = new CallerConnection(this, channel);
        channel.pipeline()
                .addLast(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext ctx, Object message) {
                        if (message instanceof ByteBuf) {
                            connection.bytesArrived();
                        }
                        ctx.fireChannelRead(message);
                    }
                })
                .addLast(new HttpServerCodec(MAX_FIRST_LINE_BYTES, limits().headerBytes(), MAX_CHUNK_BYTES))
                .addLast(connection);
    }

    private void closeTimedOut() {
        long now = System.nanoTime();
        for (CallerConnection connection : List.copyOf(connections)) {
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

    boolean mayAcceptBody(long bytes) {
        return bytes <= LARGE_BODY_BYTES || inProgress < BUSY_REQUESTS;
    }

    void connectionOpened(CallerConnection connection) {
        connections.add(connection);
    }

    void connectionClosed(CallerConnection connection) {
        connections.remove(connection);
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
        } catch (RuntimeException e) {
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

    /** Returns how many requests are being sent by their callers, not whole yet. */
    public int arriving() {
        return (int) connections.stream().filter(CallerConnection::receiving).count();
    }

    /** Returns how many connections are open. */
    public int connections() {
        return connections.size();
    }

    /** Announces on every answer from now on that its connection closes. */
    public void startDraining() {
        if (draining) {
            return;
        }
        draining = true;
        drainingSince = System.nanoTime();
        connections.forEach(CallerConnection::closeAfterCurrent);
    }

    /**
     * Closes connections on which nothing has been asked for a while, so that their callers connect elsewhere. One that has just
     * been opened or used stays, as its next request may be on its way.
     */
    public void closeIdle() {
        long now = System.nanoTime();
        for (CallerConnection connection : List.copyOf(connections)) {
            if (connection.idleFor(IDLE_WHILE_DRAINING_NANOS, now)) {
                connection.close();
            }
        }
    }

    /** Ends what is still being answered, as the process ends. */
    public void endAll() {
        for (CallerConnection connection : List.copyOf(connections)) {
            try {
                connection.endForShutdown();
            } catch (RuntimeException e) {
                logger.atSevere().withCause(e).log("event=request-failed detail=\"at the end of the process\"");
                connection.close();
            }
        }
    }

    /** Takes no more connections. */
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
