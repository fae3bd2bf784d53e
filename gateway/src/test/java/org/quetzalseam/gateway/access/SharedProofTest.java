package org.quetzalseam.gateway.access;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.gateway.peer.PeerServer;
import org.quetzalseam.gateway.peer.Peers;
import org.quetzalseam.gateway.peer.ProvedState;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.KindFreshness;
import org.quetzalseam.gateway.stream.SharedOrigins;

class SharedProofTest {
    private static final long VERSION = 7;
    private static final long OWN_AGE_MILLIS = 60_000;

    private volatile boolean needed = true;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final Timers timers = new Timers(loop);
    private final Peers peers = new Peers(loop, timers);
    private final SharedProof proof = new SharedProof(timers, peers, () -> VERSION, () -> needed);

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** The knowledge of an entry that the store has not answered for a long time. */
    private static final class OldKnowledge implements KindFreshness {
        @Override
        public long ageMillis() {
            return OWN_AGE_MILLIS;
        }

        @Override
        public StorePosition position() {
            return StorePosition.NONE;
        }

        @Override
        public boolean current() {
            return false;
        }

        @Override
        public void refresh(Runnable answered) {
            answered.run();
        }
    }

    /** Returns the age of the proof after another entry, which states the given knowledge, could be asked. */
    private long ageWith(ProvedState stated) throws InterruptedException {
        InetSocketAddress address = new PeerServer(
                        loop,
                        (team, units) -> 0,
                        () -> stated,
                        new SharedOrigins(timers, peers),
                        (reporter, news) -> {},
                        (ask, answered) -> {})
                .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        loop.submit(() -> {
                    peers.update(Map.of("other", address));
                    proof.start(new OldKnowledge());
                })
                .syncUninterruptibly();
        TimeUnit.MILLISECONDS.sleep(1_000);
        return loop.submit(proof::ageMillis).syncUninterruptibly().getNow();
    }

    @Test
    void anEntryThatTheStoreDoesNotAnswerTakesTheWordOfOneThatItAnswers() throws InterruptedException {
        assertThat(ageWith(new ProvedState(VERSION, 500))).isBetween(500L, 2_000L);
    }

    @Test
    void withoutTeamsNoOtherEntryIsAsked() throws InterruptedException {
        needed = false;
        assertThat(ageWith(new ProvedState(VERSION, 500))).isEqualTo(OWN_AGE_MILLIS);
    }

    // Guards against a key being accepted that a newer version has taken away.
    @Test
    void theWordOfAnEntryWithAnotherVersionProvesNothing() throws InterruptedException {
        assertThat(ageWith(new ProvedState(VERSION + 1, 0))).isEqualTo(OWN_AGE_MILLIS);
    }

    // Guards against entries that are all cut off from the store confirming each other.
    @Test
    void theWordOfAnEntryThatTheStoreDoesNotAnswerEitherProvesNothing() throws InterruptedException {
        assertThat(ageWith(new ProvedState(VERSION, 4_000))).isEqualTo(OWN_AGE_MILLIS);
        assertThat(proof.ownState()).isEqualTo(new ProvedState(VERSION, OWN_AGE_MILLIS));
    }
}
