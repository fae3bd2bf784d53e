package org.quetzalseam.gateway.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.CorruptedFrameException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.quetzalseam.gateway.http.BoundedConnections;
import org.quetzalseam.gateway.http.ConnectionLimits;
import org.quetzalseam.gateway.http.LimitListener;
import org.quetzalseam.gateway.http.ListeningSockets;
import org.quetzalseam.gateway.runtime.Timers;

/** Answers the questions of other entries. Used on its event loop only, except for {@link #start}. */
public final class PeerServer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private static final String LIMIT = "peer-connections";
    /** Requests for places of one connection that may wait: more than an entry that a site is designed for has in progress. */
    private static final int MAX_WAITING = 4_096;
    /** Time after which a connection is closed that reads no answer, in milliseconds: entries give an answer up much earlier. */
    private static final long MAX_UNREAD_MILLIS = 10_000;

    private static final long UNREAD_CHECK_MILLIS = 1_000;
    /** Bytes of unread answers above which no further question is read, and below which reading goes on. */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16 * 1024, 64 * 1024);

    private final EventLoop loop;
    private final Lender lender;
    private final Supplier<ProvedState> desiredState;
    private final OriginKeeper origins;
    private final CrashListener crashes;
    private final PermitIssuer permits;
    private PlaceIssuer places = PlaceIssuer.NONE;
    private BoundedConnections open =
            new BoundedConnections(LIMIT, ConnectionLimits.ofProcess().entries(), LimitListener.NONE);
    private LimitListener onLimit = LimitListener.NONE;
    private final Map<Channel, Long> unreadSince = new HashMap<>();
    private long connections;

    /** Gives units of allowances away. */
    public interface Lender {
        /** Takes up to the given number of units from this entry's share of a team's allowance. Returns how many. */
        long lend(String team, long units);
    }

    /**
     * Creates a server that listens nowhere until {@link #start} is called.
     *
     * @param loop the event loop that everything runs on
     * @param lender gives units away to entries that ask for these
     * @param desiredState states what this entry itself knows of the desired state from the store
     * @param origins keeps records of where streams began
     * @param crashes receives what other entries tell of crashes
     * @param permits decides which requests other entries may send to endpoints that state limits
     */
    public PeerServer(
            EventLoop loop,
            Lender lender,
            Supplier<ProvedState> desiredState,
            OriginKeeper origins,
            CrashListener crashes,
            PermitIssuer permits) {
        this.loop = loop;
        this.lender = lender;
        this.desiredState = desiredState;
        this.origins = origins;
        this.crashes = crashes;
        this.permits = permits;
    }

    /** Sets what decides which requests of other entries get places at endpoints. To be called before {@link #start}. */
    public void places(PlaceIssuer issuer) {
        places = issuer;
    }

    /** Limits the number of connections, of which {@code onLimit} is told. To be called before {@link #start}. */
    public void limit(ConnectionLimits limits, LimitListener onLimit) {
        open = new BoundedConnections(LIMIT, limits.entries(), onLimit);
        this.onLimit = onLimit;
    }

    /** Starts to listen on an address. Blocks until the socket is bound, and returns the address with the port in use. */
    public InetSocketAddress start(InetSocketAddress address) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, ListeningSockets.receiveBuffers())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        MessageFrames frames = new MessageFrames();
                        PeerCodec.addTo(channel.pipeline(), frames);
                        channel.pipeline().addLast(new QuestionHandler(frames));
                    }
                });
        Channel listener = ListeningSockets.bind(bootstrap, address);
        new Timers(loop).every(UNREAD_CHECK_MILLIS, this::closeUnread);
        return ListeningSockets.localAddress(listener);
    }

    /** Closes connections whose answers have been unread for too long. */
    @SuppressWarnings("FutureReturnValueIgnored")
    private void closeUnread() {
        long now = System.nanoTime();
        Map.copyOf(unreadSince).forEach((channel, since) -> {
            long millis = TimeUnit.NANOSECONDS.toMillis(now - since);
            if (millis > MAX_UNREAD_MILLIS) {
                logger.atInfo().log(
                        "event=connection-closed limit=peer-unread peer=%s unread_ms=%d",
                        channel.remoteAddress(), millis);
                onLimit.reached("peer-unread");
                channel.close();
            }
        });
    }

    private final class QuestionHandler extends SimpleChannelInboundHandler<PeerMessage> {
        /** Identifies the connection; the mark keeps it apart from the names of entries. */
        private final String connection = "#" + connections++;

        private final MessageFrames frames;
        /** Numbers of the requests for places that wait. */
        private final Set<Long> waiting = new HashSet<>();

        QuestionHandler(MessageFrames frames) {
            this.frames = frames;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            open.opened(ctx.channel());
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (ctx.channel().isWritable()) {
                unreadSince.remove(ctx.channel());
                frames.resume(ctx);
            } else {
                unreadSince.put(ctx.channel(), System.nanoTime());
                frames.pause(ctx);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, PeerMessage message) {
            open.progressed(ctx.channel());
            answer(ctx, message);
        }

        // A write that fails closes the connection, which the other entry notices.
        @SuppressWarnings("FutureReturnValueIgnored")
        private void answer(ChannelHandlerContext ctx, PeerMessage message) {
            if (message instanceof PeerMessage.Ask ask) {
                ctx.writeAndFlush(new PeerMessage.Grant(ask.id(), lender.lend(ask.team(), ask.units())));
            } else if (message instanceof PeerMessage.AskState ask) {
                ProvedState known = desiredState.get();
                ctx.writeAndFlush(new PeerMessage.State(ask.id(), known.version(), Math.max(0, known.ageMillis())));
            } else if (message instanceof PeerMessage.KeepOrigin keep) {
                origins.keep(keep.attempt(), keep.origin(), keep.keepMillis());
                ctx.writeAndFlush(new PeerMessage.OriginKept(keep.id()));
            } else if (message instanceof PeerMessage.AskOrigin ask) {
                ctx.writeAndFlush(new PeerMessage.Origin(ask.id(), origins.known(ask.attempt())));
            } else if (message instanceof PeerMessage.TellCrashes tell) {
                crashes.heard(tell.reporter(), tell.news());
                ctx.writeAndFlush(new PeerMessage.CrashesHeard(tell.id()));
            } else if (message instanceof PeerMessage.AskPermit ask) {
                permits.answer(ask.ask(), answer -> ctx.writeAndFlush(new PeerMessage.Permit(ask.id(), answer)));
            } else if (message instanceof PeerMessage.AskPlace ask) {
                askPlace(ctx, ask);
            } else if (message instanceof PeerMessage.EndPlace end) {
                waiting.remove(end.id());
                places.ended(connection, end.id(), end.outcome(), end.responseNanos());
            } else {
                throw new CorruptedFrameException("expected a question, got " + message);
            }
        }

        /** Asks for a place, unless so many requests of this connection wait that it can't be an entry's. */
        @SuppressWarnings("FutureReturnValueIgnored")
        private void askPlace(ChannelHandlerContext ctx, PeerMessage.AskPlace ask) {
            if (waiting.size() >= MAX_WAITING) {
                logger.atInfo().log(
                        "event=place-declined limit=peer-waiting peer=%s waiting=%d",
                        ctx.channel().remoteAddress(), waiting.size());
                onLimit.reached("peer-waiting");
                ctx.writeAndFlush(new PeerMessage.Place(ask.id(), PlaceAnswer.DECLINED));
                return;
            }
            places.ask(connection, ask.id(), ask.ask(), answer -> {
                if (answer.decision() == PlaceAnswer.Decision.WAITING) {
                    waiting.add(ask.id());
                } else {
                    waiting.remove(ask.id());
                }
                ctx.writeAndFlush(new PeerMessage.Place(ask.id(), answer));
            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open.closed(ctx.channel());
            unreadSince.remove(ctx.channel());
            places.closed(connection);
        }

        @SuppressWarnings("FutureReturnValueIgnored")
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                logger.atInfo().log("event=peer-message-refused cause=\"%s\"", cause);
            }
            ctx.close();
        }
    }
}
