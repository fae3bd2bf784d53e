package org.quetzalseam.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.admission.WorkClass;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.core.catalogue.CatalogueInForce;
import org.quetzalseam.daemon.settings.Settings.Seed;
import org.quetzalseam.daemon.settings.Settings.Timing;
import org.quetzalseam.wire.connection.Connection;
import org.quetzalseam.wire.connection.Dialer;
import org.quetzalseam.wire.connection.Identity;
import org.quetzalseam.wire.connection.SiteKey;
import org.quetzalseam.wire.connection.Transport;
import org.quetzalseam.wire.message.AttemptMessage;
import org.quetzalseam.wire.message.Book;
import org.quetzalseam.wire.message.Call;
import org.quetzalseam.wire.message.FenceKey;
import org.quetzalseam.wire.message.HeartbeatAck;
import org.quetzalseam.wire.message.KeyUse;
import org.quetzalseam.wire.message.Leaving;
import org.quetzalseam.wire.message.Load;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.message.Prefill;
import org.quetzalseam.wire.message.Role;
import org.quetzalseam.wire.message.Vm;
import org.quetzalseam.wire.message.Work;
import org.quetzalseam.wire.runtime.Threads;
import org.quetzalseam.wire.runtime.TimerService;

class EndpointLinkTest {
    private static final Duration LIMIT = Duration.ofSeconds(10);
    /** Longer than any test, so that nothing is given up because of time. */
    private static final Duration LONG = Duration.ofSeconds(60);

    /** After it a link waits for a second or more before it dials again. */
    private static final Duration RECONNECT_PAUSE = Duration.ofMillis(2_500);

    private static final Duration AT_ONCE = Duration.ofMillis(300);
    private static final int RESTARTS = 60;
    private static final int SENDERS = 3;
    private static final Work WORK = new Work("owner", "entry", WorkClass.SHORT, 1, 10, 10, 1_000, 10);

    private final Identity self = Identity.start(Role.ENTRY, "entry", "zone");
    private final TimerService timers = new TimerService("test");
    private final LinkContext context = new LinkContext(
            self,
            SiteKey.loopback(),
            Transport.plain(),
            timers,
            new Timing(LONG, LONG, LONG, LONG, LONG),
            new SiteSync(new CatalogueInForce(), members -> {}),
            pool -> {});
    private FakeEndpoint endpoint = FakeEndpoint.start(0);

    @BeforeEach
    void start() {
        timers.start();
    }

    @AfterEach
    void stop() {
        endpoint.stop();
        timers.stop();
    }

    private EndpointLink link() {
        Vm vm = new Vm("endpoint", Role.ENDPOINT, "zone", "pool", "127.0.0.1", endpoint.port(), 0, false);
        EndpointLink link = new EndpointLink(vm, context);
        link.start();
        return link;
    }

    private void restart() {
        int port = endpoint.port();
        endpoint.stop();
        endpoint = FakeEndpoint.start(port);
    }

    private static void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + LIMIT.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime() - end).as(what).isNegative();
            LockSupport.parkNanos(100_000);
        }
    }

    /** An order that was given to the link, and what came of it. */
    private record SentOrder(AttemptMessage order, Inbox inbox) {}

    /** Gives orders of all kinds, one after the other, as callers do who come at every moment of a connection's opening. */
    private final class Senders {
        private final EndpointLink link;
        private final AtomicInteger number = new AtomicInteger();
        private final Queue<SentOrder> given = new ConcurrentLinkedQueue<>();
        private final List<Thread> threads = new ArrayList<>();
        private volatile boolean ended;

        Senders(EndpointLink link) {
            this.link = link;
            for (int i = 0; i < SENDERS; i++) {
                Thread thread = Threads.daemon("sender", this::sendUntilOneIsTaken);
                threads.add(thread);
                thread.start();
            }
        }

        private void sendUntilOneIsTaken() {
            while (!ended) {
                SentOrder next = new SentOrder(order(number.incrementAndGet()), new Inbox());
                if (link.begin(next.order(), next.inbox(), 1)) {
                    given.add(next);
                    return;
                }
            }
        }

        List<SentOrder> ended() throws InterruptedException {
            for (Thread thread : threads) {
                thread.join(LIMIT.toMillis());
            }
            ended = true;
            return List.copyOf(given);
        }
    }

    private AttemptMessage order(int number) {
        AttemptId id = new AttemptId(self.incarnation(), number, 1);
        return switch (number % 4) {
            case 0 -> new Book(id, WORK, 0);
            case 1 -> new Prefill(id, WORK, new byte[0]);
            case 2 -> new FenceKey(id, "key", 0);
            default -> new Call(id, WORK, "POST", "/", Map.of(), new byte[0], 1_000, false, KeyUse.none());
        };
    }

    private void assertAnswered(SentOrder given) {
        AttemptEvent event = given.inbox().poll(LIMIT.toMillis());
        assertThat(event)
                .as(
                        "%s, which the process %s",
                        given.order(), endpoint.took(given.order().attempt()) ? "took" : "has not got")
                .isNotNull();
        assertThat(event.reply())
                .as(
                        "%s, which the process %s",
                        given.order(), endpoint.took(given.order().attempt()) ? "took" : "has not got")
                .isNotInstanceOf(AttemptEvent.Lost.class);
    }

    /**
     * Calls were told that they were lost though their endpoint was connected and had not crashed. The link used a new connection from
     * the moment the dialer had it, and then, as the process at its other end was another than before, settled all that was in flight
     * as lost: also what had just been sent to the new process, and ran there. In the log, {@code link-opened}, and within the same
     * milliseconds {@code request-refused … code=endpoint-lost}. Nothing about it is particular to a kind of order.
     */
    @Test
    void attemptsBegunWhileTheFirstConnectionOpensAreAnswered() throws InterruptedException {
        for (int i = 0; i < RESTARTS; i++) {
            EndpointLink link = link();
            for (SentOrder given : new Senders(link).ended()) {
                assertAnswered(given);
            }
            link.stop();
        }
    }

    /** The same where the endpoint has restarted at its address, so that the link knows the process before. */
    @Test
    void attemptsBegunWhileARestartedEndpointIsConnectedAreAnswered() throws InterruptedException {
        EndpointLink link = link();
        for (int i = 0; i < RESTARTS; i++) {
            await("a connection", link::connected);
            restart();
            await("its end", () -> !link.connected());
            for (SentOrder given : new Senders(link).ended()) {
                assertAnswered(given);
            }
        }
        link.stop();
    }

    /** Whoever waits for the first connection must not find it there and the link without it, or the other way round. */
    @Test
    void waitingForTheFirstConnectionYieldsAConnectedLink() {
        for (int i = 0; i < RESTARTS; i++) {
            EndpointLink link = link();
            assertThat(link.awaitConnected(LIMIT, link::neverConnected)).isTrue();
            assertThat(link.neverConnected()).isFalse();
            assertThat(link.incarnation()).isNotZero();
            link.stop();
        }
    }

    /** A process that left as planned is full of its end; the one after it isn't. */
    @Test
    void aRestartedProcessDoesNotInheritTheDrainingStateOfThePreviousOne() {
        EndpointLink link = link();
        await("a connection", link::connected);
        endpoint.sendToAll(new HeartbeatAck(new Load(0, 0, 0, 0, 0, true), 0, 0));
        await("word that it leaves", link::isDraining);
        restart();
        await("its end", () -> !link.connected());
        await("a connection", link::connected);
        assertThat(link.isDraining()).isFalse();
        link.stop();
    }

    @Test
    void aDrainingEndpointReceivesAnAcknowledgementAndNoFurtherWork() {
        EndpointLink link = link();
        await("a connection", link::connected);
        endpoint.sendToAll(new Leaving(List.of()));
        await("the word that it is known", () -> endpoint.isLeavingAcknowledged());
        assertThat(link.begin(order(1), new Inbox(), 1)).isFalse();
        link.stop();
    }

    /** Whoever holds a connection only to ask for the newest state kept a leaving endpoint waiting for a whole lease. */
    @Test
    void aDrainingEndpointReceivesAnAcknowledgementFromASeedInquiryToo() {
        SeedInquiry inquiry = new SeedInquiry(List.of(new Seed("127.0.0.1", endpoint.port())), context);
        inquiry.start();
        endpoint.sendToAll(new Leaving(List.of()));
        await("the word that it is known", () -> endpoint.isLeavingAcknowledged());
        inquiry.stop();
    }

    /** The last message of a process may still be read when the next one is connected. */
    @Test
    void lateMessagesOfAnEarlierProcessAreNotAttributedToTheCurrentOne() {
        EndpointLink link = link();
        await("a connection", link::connected);
        FakeEndpoint earlier = FakeEndpoint.start(0);
        LateMessages late = new LateMessages(link);
        Dialer dialer =
                new Dialer("127.0.0.1", earlier.port(), self, SiteKey.loopback(), Transport.plain(), timers, late);
        dialer.start();
        await("the earlier process's last words", () -> {
            earlier.sendToAll(new Leaving(List.of("key")));
            return late.passedOn > 0;
        });
        assertThat(link.isDraining()).isFalse();
        assertThat(link.keysAtShutdown()).isNull();
        dialer.stop();
        earlier.stop();
        link.stop();
    }

    /**
     * A link dials a process that was down again after up to two seconds. Until then it went by that process's last word on its keys, even
     * where another one had long been up at its address and had seen more. Whoever needs to know makes it dial at once.
     */
    @Test
    void aRestartedEndpointIsReachedAtOnceOnRequest() {
        EndpointLink link = link();
        await("a connection", link::connected);
        int port = endpoint.port();
        endpoint.stop();
        await("its end", () -> !link.connected());
        LockSupport.parkNanos(RECONNECT_PAUSE.toNanos());
        endpoint = FakeEndpoint.start(port);
        assertThat(link.checkReachability(AT_ONCE)).isEqualTo(EndpointLink.Reachability.CONNECTED);
        link.stop();
    }

    @Test
    void anEndpointThatIsDownIsReportedDownAtOnce() {
        EndpointLink link = link();
        await("a connection", link::connected);
        endpoint.stop();
        await("its end", () -> !link.connected());
        assertThat(link.checkReachability(LIMIT)).isEqualTo(EndpointLink.Reachability.DOWN);
        link.stop();
    }

    @Test
    void anUnresponsiveEndpointIsNotReportedDown() throws IOException {
        EndpointLink link = link();
        await("a connection", link::connected);
        int port = endpoint.port();
        endpoint.stop();
        await("its end", () -> !link.connected());
        try (ServerSocket silent = new ServerSocket()) {
            silent.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            LockSupport.parkNanos(RECONNECT_PAUSE.toNanos());
            assertThat(link.checkReachability(AT_ONCE)).isEqualTo(EndpointLink.Reachability.UNKNOWN);
        }
        link.stop();
    }

    /** Passes on to a link what comes on another process's connection. */
    private static final class LateMessages implements Dialer.Listener {
        private final EndpointLink link;
        private volatile int passedOn;

        LateMessages(EndpointLink link) {
            this.link = link;
        }

        @Override
        public void opened(Connection connection) {
            // It is the messages that count.
        }

        @Override
        public synchronized void received(Connection connection, Message message) {
            link.received(connection, message);
            passedOn++;
        }

        @Override
        public void closed(Connection connection) {
            // The test ends it.
        }
    }
}
