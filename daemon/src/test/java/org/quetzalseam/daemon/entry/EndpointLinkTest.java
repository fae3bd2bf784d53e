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
    /** Longer than any test, so that nothing ends by a timeout. */
    private static final Duration LONG = Duration.ofSeconds(60);

    /** Downtime after which a link waits for a second or more before it dials again. */
    private static final Duration DOWNTIME = Duration.ofMillis(2_500);

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
            new Quarantine(timers::now),
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

    /** An order that the link accepted, and the inbox for the replies. */
    private record SentOrder(AttemptMessage order, Inbox inbox) {}

    /**
     * Sends orders of all kinds, each sender until one is accepted, so that orders arrive at every moment of a
     * handshake.
     */
    private final class Senders {
        private final EndpointLink link;
        private final AtomicInteger number = new AtomicInteger();
        private final Queue<SentOrder> accepted = new ConcurrentLinkedQueue<>();
        private final List<Thread> threads = new ArrayList<>();
        private volatile boolean stopped;

        Senders(EndpointLink link) {
            this.link = link;
            for (int i = 0; i < SENDERS; i++) {
                Thread thread = Threads.daemon("sender", this::sendUntilOneIsAccepted);
                threads.add(thread);
                thread.start();
            }
        }

        private void sendUntilOneIsAccepted() {
            while (!stopped) {
                SentOrder next = new SentOrder(order(number.incrementAndGet()), new Inbox());
                if (link.begin(next.order(), next.inbox(), 1)) {
                    accepted.add(next);
                    return;
                }
            }
        }

        List<SentOrder> awaitAccepted() throws InterruptedException {
            for (Thread thread : threads) {
                thread.join(LIMIT.toMillis());
            }
            stopped = true;
            return List.copyOf(accepted);
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

    private void assertAnswered(SentOrder sent) {
        AttemptEvent event = sent.inbox().poll(LIMIT.toMillis());
        assertThat(event)
                .as(
                        "%s, which the process %s",
                        sent.order(), endpoint.took(sent.order().attempt()) ? "took" : "has not got")
                .isNotNull();
        assertThat(event.reply())
                .as(
                        "%s, which the process %s",
                        sent.order(), endpoint.took(sent.order().attempt()) ? "took" : "has not got")
                .isNotInstanceOf(AttemptEvent.Lost.class);
    }

    /**
     * Guards against attempts reported lost although their endpoint is connected and has not crashed. This happens if
     * the link uses a new connection before it handles its opening: since the process at the other end is a new one,
     * the link then reports everything in flight as lost, including orders just sent to the new process, which run
     * there. The log shows {@code link-opened} and, within the same milliseconds, {@code request-refused …
     * code=endpoint-lost}. All kinds of orders are affected.
     */
    @Test
    void attemptsBegunWhileTheFirstConnectionOpensAreAnswered() throws InterruptedException {
        for (int i = 0; i < RESTARTS; i++) {
            EndpointLink link = link();
            for (SentOrder sent : new Senders(link).awaitAccepted()) {
                assertAnswered(sent);
            }
            link.stop();
        }
    }

    /** The same for an endpoint that has restarted at its address, so that the link knows the previous process. */
    @Test
    void attemptsBegunWhileARestartedEndpointIsConnectedAreAnswered() throws InterruptedException {
        EndpointLink link = link();
        for (int i = 0; i < RESTARTS; i++) {
            await("a connection", link::connected);
            restart();
            await("the end of the connection", () -> !link.connected());
            for (SentOrder sent : new Senders(link).awaitAccepted()) {
                assertAnswered(sent);
            }
        }
        link.stop();
    }

    /** The connection and the link's state must change together: neither may be seen without the other. */
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

    /** The load reports of a draining process state that it drains; those of its successor do not. */
    @Test
    void aRestartedProcessDoesNotInheritTheDrainingStateOfThePreviousOne() {
        EndpointLink link = link();
        await("a connection", link::connected);
        endpoint.sendToAll(new HeartbeatAck(new Load(0, 0, 0, 0, 0, true), 0, 0));
        await("the report that it drains", link::isDraining);
        restart();
        await("the end of the connection", () -> !link.connected());
        await("a connection", link::connected);
        assertThat(link.isDraining()).isFalse();
        link.stop();
    }

    @Test
    void aDrainingEndpointReceivesAnAcknowledgementAndNoFurtherWork() {
        EndpointLink link = link();
        await("a connection", link::connected);
        endpoint.sendToAll(new Leaving(List.of()));
        await("the acknowledgement of its shutdown", () -> endpoint.isLeavingAcknowledged());
        assertThat(link.begin(order(1), new Inbox(), 1)).isFalse();
        link.stop();
    }

    /**
     * Otherwise a connection that only requests the newest state keeps a draining endpoint waiting for a whole lease.
     */
    @Test
    void aDrainingEndpointReceivesAnAcknowledgementFromASeedInquiryToo() {
        SeedInquiry inquiry = new SeedInquiry(List.of(new Seed("127.0.0.1", endpoint.port())), context);
        inquiry.start();
        endpoint.sendToAll(new Leaving(List.of()));
        await("the acknowledgement of its shutdown", () -> endpoint.isLeavingAcknowledged());
        inquiry.stop();
    }

    /** The last message of a process may still be read after the next process is connected. */
    @Test
    void lateMessagesOfAnEarlierProcessAreNotAttributedToTheCurrentOne() {
        EndpointLink link = link();
        await("a connection", link::connected);
        FakeEndpoint earlier = FakeEndpoint.start(0);
        LateMessages late = new LateMessages(link);
        Dialer dialer =
                new Dialer("127.0.0.1", earlier.port(), self, SiteKey.loopback(), Transport.plain(), timers, late);
        dialer.start();
        await("the last messages of the earlier process", () -> {
            earlier.sendToAll(new Leaving(List.of("key")));
            return late.forwarded > 0;
        });
        assertThat(link.isDraining()).isFalse();
        assertThat(link.keysAtShutdown()).isNull();
        dialer.stop();
        earlier.stop();
        link.stop();
    }

    /**
     * After a process was down, the link may dial again only after up to two seconds. Until then it would rely on the
     * keys that the process reported last, even if a new process is up at its address and has seen more keys. A check
     * of reachability therefore dials at once.
     */
    @Test
    void aRestartedEndpointIsReachedAtOnceOnRequest() {
        EndpointLink link = link();
        await("a connection", link::connected);
        int port = endpoint.port();
        endpoint.stop();
        await("the end of the connection", () -> !link.connected());
        LockSupport.parkNanos(DOWNTIME.toNanos());
        endpoint = FakeEndpoint.start(port);
        assertThat(link.checkReachability(AT_ONCE)).isEqualTo(EndpointLink.Reachability.CONNECTED);
        link.stop();
    }

    @Test
    void anEndpointThatIsDownIsReportedDownAtOnce() {
        EndpointLink link = link();
        await("a connection", link::connected);
        endpoint.stop();
        await("the end of the connection", () -> !link.connected());
        assertThat(link.checkReachability(LIMIT)).isEqualTo(EndpointLink.Reachability.DOWN);
        link.stop();
    }

    @Test
    void anUnresponsiveEndpointIsNotReportedDown() throws IOException {
        EndpointLink link = link();
        await("a connection", link::connected);
        int port = endpoint.port();
        endpoint.stop();
        await("the end of the connection", () -> !link.connected());
        try (ServerSocket unresponsive = new ServerSocket()) {
            unresponsive.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            LockSupport.parkNanos(DOWNTIME.toNanos());
            assertThat(link.checkReachability(AT_ONCE)).isEqualTo(EndpointLink.Reachability.UNKNOWN);
        }
        link.stop();
    }

    /** Forwards to a link the messages of another process's connection. */
    private static final class LateMessages implements Dialer.Listener {
        private final EndpointLink link;
        private volatile int forwarded;

        LateMessages(EndpointLink link) {
            this.link = link;
        }

        @Override
        public void opened(Connection connection) {
            // Only messages are forwarded.
        }

        @Override
        public synchronized void received(Connection connection, Message message) {
            link.received(connection, message);
            forwarded++;
        }

        @Override
        public void closed(Connection connection) {
            // Only messages are forwarded.
        }
    }
}
