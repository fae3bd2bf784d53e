package org.quetzalseam.gateway.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.crash.CrashReport;
import org.quetzalseam.core.dispatch.PlaceOutcome;
import org.quetzalseam.core.limits.PermitAnswer;
import org.quetzalseam.core.limits.PermitAsk;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.runtime.ScheduledCall;
import org.quetzalseam.gateway.runtime.ThrownErrors;
import org.quetzalseam.gateway.runtime.Timers;

/**
 * Asks one other entry, over a connection that is opened when it is first needed. A connection on which an answer is late is closed,
 * because it may have become unresponsive while new ones work. Used on the event loop only.
 */
final class PeerLink {
    /** Time in which an answer is expected, in milliseconds: many round trips within a region. */
    private static final long ANSWER_TIMEOUT_MILLIS = 120;
    /** Time for which an entry is not asked after it has not answered, in nanoseconds. */
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final EventLoop loop;
    private final Timers timers;
    private final InetSocketAddress address;
    private final Runnable onLost;
    private final Map<Long, PendingAsk> pending = new HashMap<>();
    private @Nullable Channel channel;
    private boolean connecting;
    private long nextId;
    private boolean pausing;
    private long pausedAt;
    private boolean failing;
    private long failingSince;

    /**
     * A question.
     *
     * @param waits whether the entry has answered that the question waits, so that the answer is due at no certain time
     */
    private record PendingAsk(
            PeerMessage ask, Consumer<Optional<PeerMessage>> answered, ScheduledCall timeout, boolean waits) {}

    /** Creates a link; {@code onLost} runs whenever its connection has ended or the entry has not answered. */
    PeerLink(EventLoop loop, Timers timers, InetSocketAddress address, Runnable onLost) {
        this.loop = loop;
        this.timers = timers;
        this.address = address;
        this.onLost = onLost;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Returns whether the entry is worth asking: it has not failed to answer just now. */
    boolean usable() {
        if (pausing && timers.now() - pausedAt > PAUSE_NANOS) {
            pausing = false;
        }
        return !pausing;
    }

    /** Returns for how long the entry has not answered, in nanoseconds; 0 if it has answered last time. */
    long unreachableNanos() {
        return failing ? timers.now() - failingSince : 0;
    }

    /** Asks for units of a team's allowance; {@code answered} receives how many were granted, 0 if there is no answer in time. */
    void ask(String team, long units, LongConsumer answered) {
        ask(
                new PeerMessage.Ask(nextId++, team, units),
                answer -> answered.accept(answer.orElse(null) instanceof PeerMessage.Grant grant ? grant.units() : 0));
    }

    /** Asks what the entry knows of the desired state; {@code answered} is called only if there is an answer in time. */
    void askState(Consumer<ProvedState> answered) {
        ask(new PeerMessage.AskState(nextId++), answer -> {
            if (answer.orElse(null) instanceof PeerMessage.State state) {
                answered.accept(new ProvedState(state.version(), state.ageMillis()));
            }
        });
    }

    /** Asks the entry to keep a record; {@code answered} receives whether it does. */
    void keepOrigin(String attempt, StreamOrigin origin, long keepMillis, Consumer<Boolean> answered) {
        ask(
                new PeerMessage.KeepOrigin(nextId++, attempt, origin, keepMillis),
                answer -> answered.accept(answer.orElse(null) instanceof PeerMessage.OriginKept));
    }

    /** Asks where a stream began. */
    void askOrigin(String attempt, Consumer<OriginAnswer> answered) {
        ask(
                new PeerMessage.AskOrigin(nextId++, attempt),
                answer -> answered.accept(
                        answer.orElse(null) instanceof PeerMessage.Origin origin
                                ? new OriginAnswer(origin.known(), false)
                                : OriginAnswer.SILENT));
    }

    /** Tells the entry what has been learnt of crashes. */
    void tellCrashes(String reporter, CrashReport news) {
        ask(new PeerMessage.TellCrashes(nextId++, reporter, news), answer -> {});
    }

    /** Asks whether requests may be sent to an endpoint that states a limit; {@code answered} receives empty without an answer. */
    void askPermit(PermitAsk ask, Consumer<Optional<PermitAnswer>> answered) {
        ask(
                new PeerMessage.AskPermit(nextId++, ask),
                answer -> answered.accept(
                        answer.orElse(null) instanceof PeerMessage.Permit permit
                                ? Optional.of(permit.answer())
                                : Optional.empty()));
    }

    /** Asks for a place at an endpoint; {@code answered} receives empty if the connection ends or the first answer is late. */
    PeerPlace askPlace(PlaceAsk ask, Consumer<Optional<PlaceAnswer>> answered) {
        long id = nextId++;
        ask(
                new PeerMessage.AskPlace(id, ask),
                answer -> answered.accept(
                        answer.orElse(null) instanceof PeerMessage.Place place
                                ? Optional.of(place.answer())
                                : Optional.empty()));
        return (outcome, responseNanos) -> endPlace(id, outcome, responseNanos);
    }

    /** Reports the end of a place. If the question for it has not been answered at all, its answer stays due. */
    private void endPlace(long id, PlaceOutcome outcome, long responseNanos) {
        Channel open = channel;
        PendingAsk undecided = pending.remove(id);
        if (open == null) {
            if (undecided != null) {
                undecided.timeout().cancel();
            }
            return;
        }
        if (undecided != null && !undecided.waits()) {
            pending.put(id, new PendingAsk(undecided.ask(), answer -> {}, undecided.timeout(), false));
        }
        send(open, new PeerMessage.EndPlace(id, outcome, responseNanos));
    }

    private void ask(PeerMessage ask, Consumer<Optional<PeerMessage>> answered) {
        ScheduledCall timeout = timers.after(ANSWER_TIMEOUT_MILLIS, () -> timedOut(ask.id()));
        pending.put(ask.id(), new PendingAsk(ask, answered, timeout, false));
        Channel open = channel;
        if (open != null) {
            send(open, ask);
        } else if (!connecting) {
            connectOrFail();
        }
    }

    private void connectOrFail() {
        try {
            connect();
        } catch (Throwable e) {
            ThrownErrors.record("peer-connect", e);
            connecting = false;
            failAll();
        }
    }

    private void send(Channel open, PeerMessage ask) {
        open.writeAndFlush(ask).addListener(written -> {
            if (!written.isSuccess()) {
                failAll();
            }
        });
    }

    private void connect() {
        connecting = true;
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) ANSWER_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel opened) {
                        PeerCodec.addTo(opened.pipeline());
                        opened.pipeline().addLast(new AnswerHandler());
                    }
                });
        ChannelFuture opening = bootstrap.connect(address);
        opening.addListener(done -> {
            connecting = false;
            if (!done.isSuccess()) {
                failAll();
                return;
            }
            channel = opening.channel();
            pending.values().forEach(waiting -> send(opening.channel(), waiting.ask()));
        });
    }

    private void timedOut(long id) {
        if (pending.containsKey(id)) {
            failAll();
        }
    }

    /** Ends all questions without an answer and closes the connection. */
    @SuppressWarnings("FutureReturnValueIgnored")
    void failAll() {
        pausing = true;
        pausedAt = timers.now();
        failingSince = failing ? failingSince : pausedAt;
        failing = true;
        Channel open = channel;
        channel = null;
        if (open != null) {
            open.close();
        }
        List<PendingAsk> failed = List.copyOf(pending.values());
        pending.clear();
        for (PendingAsk waiting : failed) {
            waiting.timeout().cancel();
            deliver(waiting, Optional.empty());
        }
        onLost.run();
    }

    /** Delivers an answer. What its receiver throws must not keep it from the others, whose questions are no longer pending. */
    private static void deliver(PendingAsk asked, Optional<PeerMessage> answer) {
        try {
            asked.answered().accept(answer);
        } catch (Throwable e) {
            ThrownErrors.record("peer-answer", e);
        }
    }

    private final class AnswerHandler extends SimpleChannelInboundHandler<PeerMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, PeerMessage message) {
            failing = false;
            PendingAsk waiting = pending.remove(message.id());
            if (waiting != null) {
                waiting.timeout().cancel();
                if (saysWaiting(message)) {
                    pending.put(
                            message.id(), new PendingAsk(waiting.ask(), waiting.answered(), waiting.timeout(), true));
                }
                deliver(waiting, Optional.of(message));
            }
        }

        private static boolean saysWaiting(PeerMessage message) {
            return message instanceof PeerMessage.Place place
                    && place.answer().decision() == PlaceAnswer.Decision.WAITING;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                failAll();
            }
        }

        @SuppressWarnings("FutureReturnValueIgnored")
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                ThrownErrors.record("peer-message", cause);
            }
            ctx.close();
        }
    }
}
