package org.quetzalseam.gateway.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.core.fleet.Incarnation;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.peer.PeerServer;
import org.quetzalseam.gateway.peer.Peers;
import org.quetzalseam.gateway.peer.ProvedState;
import org.quetzalseam.gateway.runtime.Timers;

/** Tests what entries that end, start again and miss some of the others know together, by random histories. */
class SharedOriginsTest {
    private static final int ENTRIES = 6;
    private static final int STEPS = 150;
    private static final long KEEP_MILLIS = 60_000;
    /** Streams that are taken up must go on at least this share as often as new ones begin. */
    private static final double MIN_SHARE = 0.5;

    private final List<Entry> entries = new ArrayList<>();
    private final Map<String, StreamOrigin> begun = new HashMap<>();

    /** An entry's part in the records, on an event loop of its own, whose end is that of the process. */
    private static final class Entry {
        private final NioEventLoopGroup group = new NioEventLoopGroup(1);
        private final EventLoop loop = group.next();
        private final Timers timers = new Timers(loop);
        private final Peers peers = new Peers(loop, timers);
        private final SharedOrigins origins = new SharedOrigins(timers, peers);
        private final InetSocketAddress address = new PeerServer(
                        loop,
                        (team, units) -> 0,
                        () -> new ProvedState(0, 0),
                        origins,
                        (reporter, news) -> {},
                        (ask, answered) -> {})
                .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));

        <T> T call(Callable<T> call) {
            return loop.submit(call).syncUninterruptibly().getNow();
        }

        OriginFinding find(String attempt) {
            CompletableFuture<OriginFinding> found = new CompletableFuture<>();
            loop.execute(() -> origins.find(attempt, found::complete));
            return found.join();
        }

        boolean knows(String attempt) {
            return call(() -> origins.known(attempt).isPresent());
        }

        void end() {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    @AfterEach
    void endAll() {
        entries.forEach(Entry::end);
    }

    private Map<String, InetSocketAddress> others(int self, int missing) {
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        for (int i = 0; i < entries.size(); i++) {
            if (i != self && i != missing) {
                addresses.put("entry-" + i, entries.get(i).address);
            }
        }
        return addresses;
    }

    /** Lists the entries to each of them; the one of the given number is missing from all lists. */
    private void list(int missing) {
        for (int i = 0; i < entries.size(); i++) {
            Entry entry = entries.get(i);
            Map<String, InetSocketAddress> others = others(i, missing);
            entry.call(() -> {
                entry.peers.update(others);
                return true;
            });
        }
    }

    private void begin(Random random) {
        String attempt = "attempt-" + begun.size();
        StreamOrigin origin =
                new StreamOrigin("s", new Incarnation("i-" + begun.size(), 0), "v" + (1 + random.nextInt(3)));
        begun.put(attempt, origin);
        Entry entry = entries.get(random.nextInt(ENTRIES));
        entry.call(() -> {
            entry.origins.record(attempt, origin, KEEP_MILLIS);
            return true;
        });
    }

    /** Takes a stream up at a random entry. Returns whether the entry found where it began. */
    private boolean takeUp(Random random) {
        String attempt = "attempt-" + random.nextInt(begun.size());
        OriginFinding finding = entries.get(random.nextInt(ENTRIES)).find(attempt);
        finding.origin().ifPresent(origin -> assertThat(origin).as(attempt).isEqualTo(begun.get(attempt)));
        return finding.origin().isPresent();
    }

    // Guards against a wrong origin, and against one that a listed entry knows not being found.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void noOriginIsWrongAndNoneThatAListedEntryKnowsIsMissed(long seed) {
        Random random = new Random(seed);
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new Entry());
        }
        list(-1);
        begin(random);
        for (int step = 0; step < STEPS; step++) {
            int kind = random.nextInt(20);
            if (kind == 0) {
                int ended = random.nextInt(ENTRIES);
                entries.get(ended).end();
                entries.set(ended, new Entry());
                list(random.nextInt(2) == 0 ? -1 : random.nextInt(ENTRIES));
            } else if (kind < 10) {
                begin(random);
            } else {
                takeUp(random);
            }
        }
        list(-1);
        int found = 0;
        for (String attempt : begun.keySet()) {
            int asked = random.nextInt(ENTRIES);
            boolean known = entries.stream().anyMatch(entry -> entry.knows(attempt));
            OriginFinding finding = entries.get(asked).find(attempt);
            assertThat(finding.origin().isPresent())
                    .as("%s, known to an entry, found by entry-%d", attempt, asked)
                    .isEqualTo(known);
            found += known ? 1 : 0;
        }
        assertThat(found / (double) begun.size())
                .as("share of the streams that some entry still knows")
                .isGreaterThanOrEqualTo(MIN_SHARE);
    }
}
