package org.quetzalseam.daemon.endpoint;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.quetzalseam.core.admission.BookingPolicy;
import org.quetzalseam.core.admission.SlotLedger;
import org.quetzalseam.core.admission.WorkQueue;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.core.attempt.AttemptTable;
import org.quetzalseam.daemon.ProcessSecurity;
import org.quetzalseam.daemon.engine.HttpEngine;
import org.quetzalseam.daemon.operator.Metrics;
import org.quetzalseam.daemon.operator.OperatorServer;
import org.quetzalseam.daemon.platform.HttpObjectStore;
import org.quetzalseam.daemon.service.HttpServiceClient;
import org.quetzalseam.daemon.settings.Settings;
import org.quetzalseam.daemon.settings.Settings.BackendKind;
import org.quetzalseam.daemon.settings.Settings.QueueOrder;
import org.quetzalseam.daemon.settings.Settings.Shedding;
import org.quetzalseam.wire.connection.Acceptor;
import org.quetzalseam.wire.connection.Connection;
import org.quetzalseam.wire.connection.Identity;
import org.quetzalseam.wire.message.AttemptMessage;
import org.quetzalseam.wire.message.Cancel;
import org.quetzalseam.wire.message.FetchState;
import org.quetzalseam.wire.message.Heartbeat;
import org.quetzalseam.wire.message.HeartbeatAck;
import org.quetzalseam.wire.message.Leaving;
import org.quetzalseam.wire.message.LeavingHeard;
import org.quetzalseam.wire.message.Load;
import org.quetzalseam.wire.message.LostRequest;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.message.RefusalReason;
import org.quetzalseam.wire.message.Refused;
import org.quetzalseam.wire.message.Resume;
import org.quetzalseam.wire.message.Seal;
import org.quetzalseam.wire.message.SealAnswer;
import org.quetzalseam.wire.message.SiteState;
import org.quetzalseam.wire.runtime.Service;
import org.quetzalseam.wire.runtime.TimerService;

/**
 * The endpoint role: the process beside one engine or service, through which every request to it passes. Thread-safe.
 *
 * <p>{@link #stop} is a planned stop: queued work is refused as not run, and running work ends first. {@link #abort}
 * drops everything at once, as a crash would.
 */
public final class EndpointDaemon implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final Duration RECORD_RETRY_INTERVAL = Duration.ofSeconds(2);
    private static final Duration KEY_PURGE_INTERVAL = Duration.ofSeconds(5);
    private static final Duration ATTEMPT_RETENTION = Duration.ofSeconds(30);
    private static final long DRAIN_POLL_MILLIS = 20;
    /** Time that peers have to read the last messages: as long as an idle connection is kept open. */
    private static final Duration LAST_MESSAGES_TIMEOUT = Duration.ofSeconds(6);

    private final Settings settings;
    private final Identity self;
    private final TimerService timers;
    private final Sessions sessions = new Sessions();
    private final BackendCrashes crashes;
    private final AttemptHandler handler;
    private final Optional<ServiceBackend> serviceBackend;
    private final Acceptor acceptor;
    private final OperatorServer operatorServer;
    private final CountDownLatch aborted = new CountDownLatch(1);
    private volatile SiteState state = SiteState.none();
    private volatile boolean draining;

    /** Creates an endpoint with validated settings; {@link #start} starts it. */
    public EndpointDaemon(Settings settings) {
        this.settings = settings;
        this.self = Identity.start(settings.role(), settings.name(), settings.zone());
        this.timers = new TimerService(settings.name());
        this.crashes = new BackendCrashes(
                settings.name() + "@" + Long.toHexString(self.incarnation()),
                settings.backend().url(),
                this::reportLost,
                timers::now);
        Metrics metrics = new Metrics();
        this.handler = createHandler(settings, metrics);
        this.serviceBackend = handler instanceof ServiceBackend known ? Optional.of(known) : Optional.empty();
        this.acceptor = new Acceptor(
                settings.listen().host(),
                settings.listen().port(),
                self,
                ProcessSecurity.siteKey(settings.security()),
                ProcessSecurity.transport(settings.security()),
                new Receiver(),
                this::opened);
        acceptor.limit(settings.listen().connections(), metrics::limitReached);
        metrics.gauge(
                "quetzalseam.endpoint.free", () -> handler.admission().load().free());
        metrics.gauge(
                "quetzalseam.endpoint.queued", () -> handler.admission().load().queued());
        this.operatorServer = new OperatorServer(settings.listen(), metrics, new StatusSource());
    }

    private AttemptHandler createHandler(Settings from, Metrics metrics) {
        Settings.Backend backend = from.backend();
        Function<JobRunner, Admission> admission = runner -> new Admission(
                new Admission.Rules(
                        from.policy().queue() == QueueOrder.FAIR ? WorkQueue.fair() : WorkQueue.fifo(),
                        from.policy().shedding() == Shedding.PREDICTED,
                        backend.kind() == BackendKind.PREFILL,
                        backend.kind() == BackendKind.DECODE
                                ? BookingPolicy.expected(from.policy().bookAhead())
                                : BookingPolicy.whenFree(),
                        backend.kind() == BackendKind.DECODE ? longWindow(from) : Integer.MAX_VALUE),
                new SlotLedger(backend.places(), backend.shortReserve()),
                new AttemptTable<>(from.timing().lease().toNanos(), ATTEMPT_RETENTION.toNanos()),
                runner);
        return switch (backend.kind()) {
            case PREFILL -> new PrefillBackend(new HttpEngine(backend.url()), sessions, crashes, admission);
            case DECODE ->
                new DecodeBackend(new HttpEngine(backend.url()), sessions, backend.places(), crashes, admission);
            case SERVICE ->
                new ServiceBackend(
                        new HttpServiceClient(backend.url()),
                        sessions,
                        new IncarnationRecords(
                                new HttpObjectStore(from.platformUrl()), from.name(), self.incarnation()),
                        self.incarnation(),
                        from.timing().keyRetention(),
                        crashes,
                        KeptAnswers.ofProcess(
                                longer(ATTEMPT_RETENTION, from.timing().keyRetention()), metrics::limitReached),
                        admission);
        };
    }

    private static Duration longer(Duration first, Duration second) {
        return first.compareTo(second) > 0 ? first : second;
    }

    private static int longWindow(Settings from) {
        return (int)
                Math.max(1, Math.round(from.backend().places() * from.policy().longWindow()));
    }

    @Override
    public void start() {
        timers.start();
        crashes.start();
        serviceBackend.ifPresent(ServiceBackend::start);
        serviceBackend.ifPresent(this::recordStart);
        acceptor.start();
        operatorServer.start();
        timers.every(TICK_INTERVAL, () -> handler.admission().tick());
        timers.every(KEY_PURGE_INTERVAL, () -> serviceBackend.ifPresent(ServiceBackend::purgeKeys));
        logger.atInfo().log(
                "event=started role=endpoint name=%s zone=%s port=%d operator_port=%d",
                self.name(), self.zone(), acceptor.port(), operatorServer.port());
    }

    private void recordStart(ServiceBackend service) {
        if (!service.recordStart()) {
            timers.after(RECORD_RETRY_INTERVAL, () -> recordStart(service));
        }
    }

    /** Returns the port for entries. */
    public int port() {
        return acceptor.port();
    }

    /** Returns the highest version of the catalogue that the endpoint forwards. */
    public long catalogueVersion() {
        return state.manifest().version();
    }

    /** Returns the endpoint's load. */
    public Load load() {
        return handler.admission().load();
    }

    /** Returns the port of the operator interface. */
    public int operatorPort() {
        return operatorServer.port();
    }

    private final class Receiver implements Connection.Listener {
        @Override
        public void received(Connection connection, Message message) {
            if (sessions.isCurrent(connection)) {
                handle(connection, message);
            }
        }

        @Override
        public void closed(Connection connection) {
            sessions.closed(connection);
        }
    }

    private void handle(Connection connection, Message message) {
        if (message instanceof Heartbeat heartbeat) {
            handler.admission().table().renew(heartbeat.attempts(), timers.now());
            serviceBackend.ifPresent(known -> known.updateMembersVersion(heartbeat.members()));
            connection.send(acknowledgement(List.of()));
        } else if (message instanceof LeavingHeard) {
            sessions.shutdownAcknowledged(connection);
        } else if (message instanceof FetchState) {
            connection.send(state);
        } else if (message instanceof SiteState received) {
            updateState(received);
        } else if (message instanceof AttemptMessage attemptMessage) {
            handleAttemptMessage(attemptMessage);
        }
    }

    private HeartbeatAck acknowledgement(List<LostRequest> lost) {
        SiteState known = state;
        return new HeartbeatAck(handler.admission().load(), known.manifest().version(), known.members(), lost);
    }

    private void opened(Connection connection) {
        sessions.opened(connection);
        // A crash that is reported meanwhile may be reported twice.
        List<LostRequest> lost = crashes.recentlyLost();
        if (!lost.isEmpty()) {
            connection.send(acknowledgement(lost));
        }
    }

    private void reportLost(List<LostRequest> lost) {
        sessions.sendToAll(acknowledgement(lost));
    }

    private synchronized void updateState(SiteState received) {
        state = SiteState.newer(state, received);
    }

    private void handleAttemptMessage(AttemptMessage message) {
        AttemptId id = message.attempt();
        if (message instanceof Cancel) {
            handler.admission().cancel(id);
        } else if (message instanceof Seal) {
            sessions.send(
                    id.entry(),
                    new SealAnswer(
                            id,
                            handler.admission().seal(id),
                            handler.admission().load()));
        } else if (message instanceof Resume resume) {
            resume(resume);
        } else if (!handler.handle(message)) {
            refuse(id, RefusalReason.WRONG_ENDPOINT);
        }
    }

    /**
     * Repeats the outputs and the last reply of an attempt; one that never arrived is sealed and reported as not run.
     */
    private void resume(Resume resume) {
        Job job = handler.admission().table().work(resume.attempt());
        if (job != null) {
            job.replay(resume.next(), handler.admission().load());
            return;
        }
        handler.admission().seal(resume.attempt());
        refuse(resume.attempt(), RefusalReason.SEALED);
    }

    private void refuse(AttemptId id, RefusalReason reason) {
        sessions.send(id.entry(), new Refused(id, reason, 0, handler.admission().load()));
    }

    @Override
    public void stop() {
        startDraining();
        long deadline = timers.now() + settings.timing().drain().toNanos();
        while (handler.admission().jobCount() > 0 && timers.now() - deadline < 0 && !isAborted()) {
            pause();
        }
        if (handler.admission().jobCount() > 0) {
            logger.atWarning().log(
                    "event=drain-incomplete name=%s left=%d",
                    self.name(), handler.admission().jobCount());
        }
        awaitAcknowledgements();
        serviceBackend.ifPresent(ServiceBackend::recordPlannedStop);
        deliverLastMessages();
        stopComponents();
        logger.atInfo().log("event=stopped role=endpoint name=%s", self.name());
    }

    /** Waits, still answering, until every entry has acknowledged the shutdown and so sends no new work here. */
    private void awaitAcknowledgements() {
        long deadline = timers.now() + settings.timing().lease().toNanos();
        while (!sessions.allAcknowledgedShutdown() && timers.now() - deadline < 0 && !isAborted()) {
            pause();
        }
        if (!sessions.allAcknowledgedShutdown()) {
            logger.atInfo().log("event=leaving-not-heard name=%s", self.name());
        }
    }

    /**
     * Waits for the last messages: work ends when its last output is queued on a connection, perhaps seconds before it
     * is sent.
     */
    private void deliverLastMessages() {
        try {
            acceptor.stopGracefully().get(LAST_MESSAGES_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            logger.atWarning().log(
                    "event=last-messages-cut name=%s limit_ms=%d connections=%d",
                    self.name(),
                    LAST_MESSAGES_TIMEOUT.toMillis(),
                    acceptor.connections().size());
        } catch (ExecutionException e) {
            throw new IllegalStateException("closing the connections failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Accepts no new work from now on, notifies every entry, and refuses queued work as not run. */
    public void startDraining() {
        draining = true;
        handler.admission().drain();
        List<String> keys = serviceBackend.map(ServiceBackend::retainedKeys).orElse(List.of());
        sessions.announceShutdown(new Leaving(keys));
        logger.atInfo().log(
                "event=leaving name=%s live=%d",
                self.name(), handler.admission().jobCount());
    }

    private boolean isAborted() {
        return aborted.getCount() == 0;
    }

    private void pause() {
        try {
            if (aborted.await(DRAIN_POLL_MILLIS, TimeUnit.MILLISECONDS)) {
                logger.atFine().log("event=drain-aborted name=%s", self.name());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            aborted.countDown();
        }
    }

    /** Drops everything at once, as a crash would. */
    public void abort() {
        aborted.countDown();
        stopComponents();
    }

    private void stopComponents() {
        acceptor.stop();
        operatorServer.stop();
        serviceBackend.ifPresent(ServiceBackend::stop);
        crashes.stop();
        timers.stop();
    }

    private final class StatusSource implements OperatorServer.Source {
        @Override
        public boolean ready() {
            return !draining;
        }

        @Override
        public Object status() {
            SiteState known = state;
            return new EndpointStatus(
                    self.name(),
                    self.zone(),
                    Long.toHexString(self.incarnation()),
                    settings.backend().kind().name(),
                    known.manifest().version(),
                    known.members(),
                    handler.admission().load());
        }

        @Override
        public Optional<Object> explain(String requestId) {
            return Optional.empty();
        }
    }
}
