package org.quetzalseam.gateway.crash;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.crash.CrashLedger;
import org.quetzalseam.core.crash.CrashReport.Fact;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.peer.OriginKeeper;
import org.quetzalseam.gateway.peer.PeerOrigin;
import org.quetzalseam.gateway.peer.PeerServer;
import org.quetzalseam.gateway.peer.Peers;
import org.quetzalseam.gateway.peer.ProvedState;
import org.quetzalseam.gateway.runtime.Timers;

class CrashNewsTest {
    private static final long KEEP_NANOS = TimeUnit.MINUTES.toNanos(10);
    /** More than a message takes, in milliseconds. */
    private static final long MESSAGE_MILLIS = 200;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final Timers timers = new Timers(loop);
    private final Peers peers = new Peers(loop, timers);
    private final CrashLedger ledger = new CrashLedger("entry-1", KEEP_NANOS, KEEP_NANOS);
    private final CrashNews news = new CrashNews(timers, peers, "entry-1", ledger);
    private final List<Fact> heard = new CopyOnWriteArrayList<>();

    private static final class NoOrigins implements OriginKeeper {
        @Override
        public void keep(String attempt, StreamOrigin origin, long keepMillis) {}

        @Override
        public Optional<PeerOrigin> known(String attempt) {
            return Optional.empty();
        }
    }

    @BeforeEach
    void start() {
        InetSocketAddress address = new PeerServer(
                        loop,
                        (team, units) -> 0,
                        () -> new ProvedState(0, 0),
                        new NoOrigins(),
                        (reporter, told) -> heard.addAll(told.lost()),
                        (ask, answered) -> {})
                .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        loop.submit(() -> peers.update(Map.of("entry-2", address))).syncUninterruptibly();
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void lose(Fact lost) throws InterruptedException {
        loop.submit(() -> {
                    ledger.recordLost(lost, timers.now());
                    news.tellSoon();
                })
                .syncUninterruptibly();
        TimeUnit.MILLISECONDS.sleep(MESSAGE_MILLIS);
    }

    @Test
    void eachLossIsToldOnce() throws InterruptedException {
        Fact first = new Fact("r1", "i-1", List.of("5a", "0b"));
        Fact second = new Fact("r2", "i-1");
        lose(first);
        lose(second);
        assertThat(heard).containsExactly(first, second);
    }

    // Guards against a connection between entries being closed because a message is longer than a frame may be.
    @Test
    void manyLossesWithTheLongestPartsAreToldInSeveralMessages() throws InterruptedException {
        List<String> longest = Collections.nCopies(64, "f".repeat(64));
        loop.submit(() -> {
                    for (int i = 0; i < 40; i++) {
                        ledger.recordLost(new Fact("r" + i, "i-1", longest), timers.now());
                    }
                    news.tellSoon();
                })
                .syncUninterruptibly();
        TimeUnit.MILLISECONDS.sleep(2 * MESSAGE_MILLIS);
        assertThat(heard).hasSize(40);
    }
}
