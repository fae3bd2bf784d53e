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
    /** How late an entry hears that the endpoint leaves: within a lease. */
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

    /** Sends a call after the endpoint has said that it leaves, and only then has heard it. */
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
     * Calls were told {@code endpoint-lost}, outcome unknown, 1.7 s after their endpoint had stopped as planned: they had been on their way when it said
     * so, it had nothing to do, and ended its connections before it could refuse them. In the log, {@code event=leaving … live=0}, then at
     * the entry {@code link-closed … in_flight=1}.
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
     * An inquiry was in doubt, {@code reason=absent-without-word}, about an endpoint that had left as planned: its entry's connection had opened
     * there a moment after the endpoint told all entries, and what it said then was all that they were to hear of its keys.
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

    /** Waits for the word of an endpoint that leaves. */
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
            // The test waits for the word.
        }
    }
}
