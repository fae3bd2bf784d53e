package org.quetzalseam.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.cli.site.EndpointVm;
import org.quetzalseam.cli.site.Wait;
import org.quetzalseam.daemon.platform.HttpObjectStore;
import org.quetzalseam.standins.LinkProxy;
import org.quetzalseam.standins.PlatformStandIn;
import org.quetzalseam.standins.PlatformStandIn.ListedVm;
import org.quetzalseam.wire.connection.Connection;
import org.quetzalseam.wire.connection.Dialer;
import org.quetzalseam.wire.connection.Identity;
import org.quetzalseam.wire.connection.SiteKey;
import org.quetzalseam.wire.connection.Transport;
import org.quetzalseam.wire.message.Heartbeat;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.message.Role;
import org.quetzalseam.wire.runtime.TimerService;

class KeyInquiryTest {
    private static final int DEPOSITS = 20;
    /** Delay of each piece on a path, in milliseconds: an answer over it takes half of the lease. */
    private static final long PATH_DELAY_MILLIS = 350;

    /** How late calls to the store take effect, in milliseconds. */
    private static final long STORE_DELAY_MILLIS = 1_000;

    /** How long an address accepts connections and says nothing: less than a lease, as when a process starts there beside load. */
    private static final Duration UNRESPONSIVE_TIME = Duration.ofMillis(700);

    private final TestSite site = TestSite.start();
    private final TimerService timers = new TimerService("test");

    @AfterEach
    void stop() {
        timers.stop();
        site.close();
    }

    /** Tells an endpoint, as another entry does with its heartbeat, which list of VMs is in use. */
    private void announce(EndpointVm service, long members) throws InterruptedException {
        CountDownLatch heard = new CountDownLatch(1);
        Dialer dialer = new Dialer(
                "127.0.0.1",
                service.daemon().port(),
                Identity.start(Role.ENTRY, "another", "akl-east"),
                SiteKey.loopback(),
                Transport.plain(),
                timers,
                new HeartbeatSender(members, heard));
        dialer.start();
        assertThat(heard.await(TestSite.LIMIT.toSeconds(), TimeUnit.SECONDS)).isTrue();
        dialer.stop();
    }

    /** Sends one heartbeat. */
    private record HeartbeatSender(long members, CountDownLatch answered) implements Dialer.Listener {
        @Override
        public void opened(Connection connection) {
            connection.send(new Heartbeat(List.of(), 0, members));
        }

        @Override
        public void received(Connection connection, Message message) {
            answered.countDown();
        }

        @Override
        public void closed(Connection connection) {
            // It has said all.
        }
    }

    /** Makes deposits at both entries at once, each with a key of its own. */
    private List<CompletableFuture<HttpResponse<String>>> deposits(String prefix) {
        List<CompletableFuture<HttpResponse<String>>> deposits = new ArrayList<>();
        for (int i = 0; i < DEPOSITS; i++) {
            deposits.add(site.deposit(site.entry(i % 2), prefix + i, prefix + i));
        }
        return deposits;
    }

    private void assertAnsweredOnce(List<CompletableFuture<HttpResponse<String>>> deposits, String prefix) {
        for (int i = 0; i < DEPOSITS; i++) {
            HttpResponse<String> response = deposits.get(i).join();
            assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
            assertThat(site.executions(prefix + i)).isEqualTo(1);
        }
    }

    /**
     * Keyed calls were told {@code key-holder-unreachable} beside load though nothing had stopped: their inquiry gave an endpoint half a
     * second to answer, and it answered just later. In the log, {@code key-inquiry-in-doubt … reason=no-answer-in-time
     * unanswered=repository-app-1 … age_ms=656}; a copy that went on waiting had the answer within the next millisecond. An endpoint whose
     * lease runs counts as there everywhere else; half a second bounded the wrong thing.
     */
    @Test
    void aKeyedCallIsAnsweredThoughAnotherEndpointIsSlowToAnswerTheInquiry() {
        site.services().get(0).proxy().delay(PATH_DELAY_MILLIS);
        assertAnsweredOnce(deposits("slow-"), "slow-");
    }

    /**
     * A connection that is cut while an inquiry's question is on it loses the question or its answer. The endpoint is there and can be
     * asked again at once: to bar a key twice is the same as once.
     */
    @Test
    void aKeyedCallIsAnsweredThoughAConnectionIsCutDuringItsInquiry() {
        LinkProxy path = site.services().get(0).proxy();
        path.delay(PATH_DELAY_MILLIS);
        List<CompletableFuture<HttpResponse<String>>> deposits = deposits("cut-");
        Wait.sleep(Duration.ofMillis(PATH_DELAY_MILLIS / 2));
        path.cut();
        path.delay(0);
        assertAnsweredOnce(deposits, "cut-");
    }

    /** A holder whose connection has just been cut is there again as soon as it is dialled. */
    @Test
    void aKeyedCallIsAnsweredThoughTheConnectionToItsHolderHasJustBeenCut() {
        for (int i = 0; i < DEPOSITS; i++) {
            site.services().forEach(vm -> vm.proxy().cut());
            Wait.until(
                    TestSite.LIMIT,
                    "the cut",
                    () -> site.entry(0).daemon().connectedEndpoints()
                            < site.services().size() + 3);
            HttpResponse<String> response =
                    site.deposit(site.entry(0), "lost-" + i, "lost-" + i).join();
            assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
            assertThat(site.executions("lost-" + i)).isEqualTo(1);
        }
    }

    /**
     * Entries hear of a change of the pool one after the other. A holder that has heard of it from one of them doesn't take a key from
     * another that goes by the old list, as the key may have moved; that one can read the list anew instead of telling its caller
     * {@code old-members}, outcome unknown.
     */
    @Test
    void aKeyedCallIsAnsweredAtAnEntryThatReceivesAPoolChangeLate() throws InterruptedException {
        PlatformStandIn platform = site.site().platform();
        long before =
                new HttpObjectStore(platform.url()).members(0, Duration.ZERO).version();
        platform.down(true);
        Wait.sleep(Duration.ofMillis(50));
        platform.slow(STORE_DELAY_MILLIS);
        platform.down(false);
        platform.list(new ListedVm("other", "entry", "akl-east", "", 1, 1, true));
        for (EndpointVm service : site.services()) {
            announce(service, before + 1);
        }
        HttpResponse<String> response =
                site.deposit(site.entry(0), "late", "late").join();
        assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
        assertThat(site.executions("late")).isEqualTo(1);
    }

    /**
     * A keyed call was told {@code key-holder-unreachable}, {@code reason=left-and-maybe-back}, in the moment in which another endpoint
     * was stopped as planned and started again: nobody said within half a second whether a process is up there. The endpoint left word
     * of its keys, and is shown to be down a little later.
     */
    @Test
    void aKeyedCallIsAnsweredThoughAStoppedEndpointIsBrieflyUnresponsiveBeforeItIsDown() throws IOException {
        EndpointVm left = site.services().get(0);
        left.stop();
        List<CompletableFuture<HttpResponse<String>>> deposits;
        try (ServerSocket silent = new ServerSocket(0, DEPOSITS, InetAddress.getLoopbackAddress())) {
            left.proxy().redirect(silent.getLocalPort());
            deposits = deposits("silent-");
            Wait.sleep(UNRESPONSIVE_TIME);
        }
        assertAnsweredOnce(deposits, "silent-");
    }

    /**
     * The same, and meanwhile the endpoint is started again at another address. The link to the one before was stopped, and a stopped link
     * dials nobody: an inquiry that waited for it learnt nothing, however long it waited ({@code reason=left-and-maybe-back}, at 514 ms
     * and, with a longer wait, at 1,501 ms). The new process is to be asked instead.
     */
    @Test
    void aKeyedCallIsAnsweredThoughAStoppedEndpointRestartsAtAnotherAddressDuringItsInquiry() throws IOException {
        EndpointVm left = site.services().get(0);
        left.stop();
        try (ServerSocket silent = new ServerSocket(0, DEPOSITS, InetAddress.getLoopbackAddress())) {
            left.proxy().redirect(silent.getLocalPort());
            List<CompletableFuture<HttpResponse<String>>> deposits = deposits("back-");
            Wait.sleep(Duration.ofMillis(200));
            left.start();
            assertAnsweredOnce(deposits, "back-");
        }
    }
}
