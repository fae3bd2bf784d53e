package org.quetzalseam.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.cli.site.EndpointVm;
import org.quetzalseam.core.admission.WorkClass;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.wire.connection.Connection;
import org.quetzalseam.wire.connection.Dialer;
import org.quetzalseam.wire.connection.Identity;
import org.quetzalseam.wire.connection.SiteKey;
import org.quetzalseam.wire.connection.Transport;
import org.quetzalseam.wire.message.Call;
import org.quetzalseam.wire.message.KeyUse;
import org.quetzalseam.wire.message.Leaving;
import org.quetzalseam.wire.message.LeavingHeard;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.message.RefusalReason;
import org.quetzalseam.wire.message.Refused;
import org.quetzalseam.wire.message.Role;
import org.quetzalseam.wire.message.Work;
import org.quetzalseam.wire.runtime.TimerService;

class DrainingEndpointTest {
    /** Delay after which an entry handles the message that the endpoint leaves, in milliseconds; shorter than a lease. */
    private static final long ENTRY_DELAY_MILLIS = 300;

    private static final Duration LEAVING_MESSAGE_LIMIT = Duration.ofSeconds(3);
    private static final Work WORK = new Work("owner", "entry", WorkClass.SHORT, 1, 10, 10, 1_000, 10);

    private final TestSite site = TestSite.start();
    private final TimerService timers = new TimerService("test");
    private final Identity self = Identity.start(Role.ENTRY, "late", "akl-east");

    @BeforeEach
    void start() {
        timers.start();
    }

    @AfterEach
    void stop() {
        timers.stop();
        site.close();
    }

    /** Sends a call after the endpoint has reported that it leaves, and acknowledges the report only then. */
    private final class LateEntry implements Dialer.Listener {
        private final CompletableFuture<Void> connected = new CompletableFuture<>();
        private final CompletableFuture<Message> answer = new CompletableFuture<>();

        @Override
        public void opened(Connection connection) {
            connected.complete(null);
        }

        @Override
        public void received(Connection connection, Message message) {
            if (message instanceof Leaving) {
                timers.after(Duration.ofMillis(ENTRY_DELAY_MILLIS), () -> {
                    AttemptId id = new AttemptId(self.incarnation(), 1, 1);
                    connection.send(
                            new Call(id, WORK, "POST", "/", Map.of(), new byte[0], 1_000, false, KeyUse.none()));
                    connection.send(new LeavingHeard());
                });
            } else if (message instanceof Refused) {
                answer.complete(message);
            }
        }

        @Override
        public void closed(Connection connection) {
            answer.completeExceptionally(new IllegalStateException("closed without an answer"));
        }
    }

    /**
     * Guards against calls that fail with {@code endpoint-lost}, outcome unknown, 1.7 s after their endpoint has stopped as planned. They
     * were in transit when the endpoint reported that it leaves; it had no work left, and closed its connections before it could refuse
     * them. The log then has {@code event=leaving … live=0}, and the entry's log {@code link-closed … in_flight=1}.
     */
    @Test
    void aCallInTransitWhenItsEndpointStartsDrainingIsRefusedAsNotRun() throws Exception {
        EndpointVm service = site.services().get(0);
        LateEntry entry = new LateEntry();
        Dialer dialer = new Dialer(
                "127.0.0.1", service.daemon().port(), self, SiteKey.loopback(), Transport.plain(), timers, entry);
        dialer.start();
        entry.connected.get(TestSite.LIMIT.toSeconds(), TimeUnit.SECONDS);
        site.deposit(site.entry(0), "", "before").join();
        service.stop();
        assertThat(entry.answer.get(TestSite.LIMIT.toSeconds(), TimeUnit.SECONDS))
                .isInstanceOfSatisfying(
                        Refused.class, refused -> assertThat(refused.reason()).isEqualTo(RefusalReason.LEAVING));
        dialer.stop();
    }

    /**
     * Guards against an inquiry that stays in doubt, {@code reason=absent-without-word}, about an endpoint that has shut down as planned.
     * The entry's connection opened just after the endpoint had sent its leaving message to all entries, and that message is the only
     * report of its keys.
     */
    @Test
    void anEntryThatConnectsToADrainingEndpointReceivesItsLeavingMessage() throws Exception {
        EndpointVm service = site.services().get(0);
        service.daemon().startDraining();
        LeavingListener entry = new LeavingListener();
        Dialer dialer = new Dialer(
                "127.0.0.1", service.daemon().port(), self, SiteKey.loopback(), Transport.plain(), timers, entry);
        dialer.start();
        assertThat(entry.leaving.get(LEAVING_MESSAGE_LIMIT.toMillis(), TimeUnit.MILLISECONDS))
                .isNotNull();
        dialer.stop();
    }

    /** Waits for the leaving message of an endpoint. */
    private static final class LeavingListener implements Dialer.Listener {
        private final CompletableFuture<Leaving> leaving = new CompletableFuture<>();

        @Override
        public void opened(Connection connection) {
            // Nothing is sent.
        }

        @Override
        public void received(Connection connection, Message message) {
            if (message instanceof Leaving notice) {
                leaving.complete(notice);
            }
        }

        @Override
        public void closed(Connection connection) {
            // The test waits for the leaving message.
        }
    }
}
