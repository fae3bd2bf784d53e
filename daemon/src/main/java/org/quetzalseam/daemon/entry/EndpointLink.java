package org.quetzalseam.daemon.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.admission.WorkClass;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.core.placement.Candidate;
import org.quetzalseam.core.placement.Ejection;
import org.quetzalseam.wire.connection.Connection;
import org.quetzalseam.wire.connection.Dialer;
import org.quetzalseam.wire.message.AttemptMessage;
import org.quetzalseam.wire.message.AttemptReply;
import org.quetzalseam.wire.message.Cancel;
import org.quetzalseam.wire.message.FenceKey;
import org.quetzalseam.wire.message.Heartbeat;
import org.quetzalseam.wire.message.HeartbeatAck;
import org.quetzalseam.wire.message.Leaving;
import org.quetzalseam.wire.message.LeavingHeard;
import org.quetzalseam.wire.message.Load;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.message.Resume;
import org.quetzalseam.wire.message.SiteState;
import org.quetzalseam.wire.message.Vm;
import org.quetzalseam.wire.runtime.Service;
import org.quetzalseam.wire.runtime.TimerService;
import org.quetzalseam.wire.runtime.TimerService.Subscription;

/**
 * An entry's link to one endpoint: the connection, the known state of the endpoint, and the attempts that this entry
 * has in flight there. Thread-safe.
 *
 * <p>After a lost connection the link resumes its attempts if the same incarnation of the endpoint answers within the
 * lease; otherwise each of them receives {@link AttemptEvent.Lost}.
 *
 * <p>The connection, the known state of the process at its other end, and the attempts in flight there change under
 * one lock: an attempt begun between two of these changes would be treated as one of the previous process, and
 * reported lost while it runs. Nothing that takes other locks, such as the site's state, is called under this lock.
 */
final class EndpointLink implements Service, Dialer.Listener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration LOSS_MARGIN = Duration.ofMillis(200);
    /** Interval at which a waiting thread checks for a connection: a fraction of the time of a handshake. */
    private static final Duration CONNECTION_POLL_INTERVAL = Duration.ofMillis(1);

    private final Vm vm;
    private final LinkContext context;
    private final Dialer dialer;
    private final Object lock = new Object();
    private final Map<AttemptId, Inbox> inFlight = new HashMap<>();
    private final AtomicLong sentCost = new AtomicLong();
    private final AtomicInteger sentCount = new AtomicInteger();
    private final Ejection ejection = new Ejection();
    private long connectionChanges;
    private volatile boolean stopped;
    private volatile @Nullable Connection current;
    private volatile Load load = Load.unknown();
    private volatile long incarnation;
    private volatile boolean leaving;
    private volatile boolean listedLeaving;
    private volatile @Nullable Set<String> keysAtShutdown;

    private volatile Optional<Subscription> heartbeats = Optional.empty();

    EndpointLink(Vm vm, LinkContext context) {
        this.vm = vm;
        this.context = context;
        this.listedLeaving = vm.leaving();
        this.dialer = new Dialer(
                vm.host(), vm.port(), context.self(), context.key(), context.transport(), context.timers(), this);
    }

    @Override
    public void start() {
        dialer.start();
        TimerService timers = context.timers();
        heartbeats = Optional.of(timers.every(context.timing().heartbeat(), this::heartbeat));
    }

    String name() {
        return vm.name();
    }

    Vm vm() {
        return vm;
    }

    /** Returns the keys that the endpoint had seen when it shut down, or null when it has not reported them. */
    @Nullable
    Set<String> keysAtShutdown() {
        return keysAtShutdown;
    }

    /** Returns the incarnation of the endpoint that the link last reached. */
    long incarnation() {
        return incarnation;
    }

    void setListedLeaving(boolean isListedLeaving) {
        listedLeaving = isListedLeaving;
    }

    /** Waits for a connection until the limit, or until the condition is false. Returns whether there is one. */
    boolean awaitConnected(Duration limit, BooleanSupplier keepWaiting) {
        long end = System.nanoTime() + limit.toNanos();
        while (!connected()
                && keepWaiting.getAsBoolean()
                && System.nanoTime() - end < 0
                && !Thread.currentThread().isInterrupted()) {
            LockSupport.parkNanos(CONNECTION_POLL_INTERVAL.toNanos());
        }
        return connected();
    }

    /** Whether the endpoint's process was reached by an effort to connect. */
    enum Reachability {
        /** The link is connected. */
        CONNECTED,
        /** Its address refused a connection that was attempted after the effort began: no process was listening. */
        DOWN,
        /** Neither a connection nor a refusal was seen within the limit. */
        UNKNOWN,
        /** The link was stopped: the endpoint is no longer listed, or is listed with another address. */
        DROPPED
    }

    /** Dials at once, without waiting for the next scheduled dial, and returns whether the endpoint's process is up. */
    Reachability checkReachability(Duration limit) {
        long before = dialer.refusedAttempts();
        // Two refusals are needed, because the first may belong to an attempt that began before this call.
        BooleanSupplier undecided = () -> dialer.refusedAttempts() - before < 2;
        boolean connected = awaitConnected(limit, () -> {
            dialer.dialNow();
            return !stopped && undecided.getAsBoolean();
        });
        if (connected) {
            return Reachability.CONNECTED;
        }
        if (stopped) {
            return Reachability.DROPPED;
        }
        return undecided.getAsBoolean() ? Reachability.UNKNOWN : Reachability.DOWN;
    }

    boolean connected() {
        Connection connection = current;
        return connection != null && connection.isOpen();
    }

    /** Returns whether no connection has been made yet, such as to an endpoint that has just been listed. */
    boolean neverConnected() {
        return incarnation == 0;
    }

    boolean isDraining() {
        return leaving || listedLeaving || load.leaving();
    }

    /** Returns whether new work may be sent to the endpoint. */
    boolean isUsable() {
        synchronized (ejection) {
            if (ejection.isEjected(context.timers().now())) {
                return false;
            }
        }
        return connected() && !isDraining();
    }

    void recordSuccess() {
        synchronized (ejection) {
            ejection.recordSuccess();
        }
    }

    void recordFailure() {
        synchronized (ejection) {
            ejection.recordFailure(context.timers().now());
        }
    }

    /** Returns the endpoint as input to placement, including the work sent by this entry since its last load report. */
    Candidate candidate(WorkClass workClass) {
        Load latest = load;
        long addedMillis =
                sentCost.get() * latest.nanosPerCost() / Duration.ofMillis(1).toNanos();
        return new Candidate(
                vm.name(),
                vm.zone(),
                latest.free() - sentCount.get(),
                (workClass == WorkClass.SHORT ? latest.shortBacklogMillis() : latest.backlogMillis()) + addedMillis);
    }

    Load load() {
        return load;
    }

    /**
     * Sends the first order of an attempt. Returns false when it certainly was not sent, such as to a process that has
     * announced its shutdown; {@link FenceKey} is sent to such a process too.
     *
     * @param order the order
     * @param inbox receives the replies of the endpoint
     * @param cost cost of the work, counted as backlog until the endpoint's next load report
     */
    boolean begin(AttemptMessage order, Inbox inbox, long cost) {
        synchronized (lock) {
            boolean rejected = leaving && !(order instanceof FenceKey);
            if (rejected || !sendNow(order)) {
                return false;
            }
            inFlight.put(order.attempt(), inbox);
            sentCost.addAndGet(cost);
            sentCount.incrementAndGet();
            return true;
        }
    }

    /**
     * Sends a further order of an attempt. If the order is lost, resuming the attempt detects it. Returns false when
     * the order certainly was not sent, such as when the process that has the attempt was replaced.
     */
    boolean send(AttemptMessage order) {
        synchronized (lock) {
            return inFlight.containsKey(order.attempt()) && sendNow(order);
        }
    }

    /** Sends a message that belongs to no attempt, if there is a connection. */
    void sendOutsideAttempt(Message message) {
        synchronized (lock) {
            sendNow(message);
        }
    }

    private boolean sendNow(Message message) {
        Connection connection = current;
        return connection != null && connection.send(message);
    }

    /** Stops tracking an attempt that has ended at the endpoint. */
    void forget(AttemptId id) {
        synchronized (lock) {
            inFlight.remove(id);
        }
    }

    /** Cancels an attempt at the endpoint. If the message is lost, the lease ends the attempt there. */
    void cancel(AttemptId id) {
        synchronized (lock) {
            if (inFlight.remove(id) != null) {
                sendNow(new Cancel(id));
            }
        }
    }

    private void heartbeat() {
        long catalogue = context.site().catalogueVersion();
        long members = context.site().membersVersion();
        synchronized (lock) {
            sendNow(new Heartbeat(List.copyOf(inFlight.keySet()), catalogue, members));
        }
    }

    @Override
    public void opened(Connection connection) {
        long catalogue = context.site().catalogueVersion();
        long members = context.site().membersVersion();
        long peerIncarnation = connection.peer().incarnation();
        synchronized (lock) {
            if (stopped) {
                return;
            }
            connectionChanges++;
            if (peerIncarnation == incarnation) {
                inFlight.forEach((id, inbox) -> connection.send(new Resume(id, inbox.nextOutput())));
            } else {
                resetProcessState();
            }
            current = connection;
            incarnation = peerIncarnation;
            sendNow(new Heartbeat(List.copyOf(inFlight.keySet()), catalogue, members));
        }
        logger.atInfo().log("event=link-opened endpoint=%s incarnation=%x", vm.name(), peerIncarnation);
    }

    /** Reports the attempts of the previous process as lost, and discards the state that it had reported. */
    private void resetProcessState() {
        leaving = false;
        keysAtShutdown = null;
        updateLoad(Load.unknown());
        reportAllLost();
    }

    @Override
    public void closed(Connection connection) {
        int remaining;
        long change;
        synchronized (lock) {
            if (current == connection) {
                current = null;
            }
            change = ++connectionChanges;
            remaining = inFlight.size();
        }
        context.timers().after(context.timing().lease().plus(LOSS_MARGIN), () -> reportLostUnlessChanged(change));
        logger.atInfo().log("event=link-closed endpoint=%s in_flight=%d", vm.name(), remaining);
    }

    private void reportLostUnlessChanged(long change) {
        synchronized (lock) {
            if (connectionChanges == change) {
                reportAllLost();
            }
        }
    }

    private void reportAllLost() {
        inFlight.forEach((id, inbox) -> inbox.add(new AttemptEvent(this, new AttemptEvent.Lost(id))));
        inFlight.clear();
    }

    @Override
    public void received(Connection connection, Message message) {
        if (message instanceof AttemptReply reply) {
            handleReply(connection, reply);
        } else if (message instanceof HeartbeatAck ack) {
            updateLoad(connection, ack.load());
            context.quarantine().learn(vm.name(), ack.lost());
            context.site().reconcile(this, ack);
        } else if (message instanceof SiteState state) {
            context.site().offer(state);
        } else if (message instanceof Leaving notice) {
            handleLeaving(connection, notice);
        }
    }

    /** Returns whether a connection belongs to the process last reached; late messages may come from a previous one. */
    private boolean isFromCurrentProcess(Connection connection) {
        return connection.peer().incarnation() == incarnation;
    }

    private void handleReply(Connection connection, AttemptReply reply) {
        synchronized (lock) {
            if (!isFromCurrentProcess(connection)) {
                return;
            }
            updateLoad(reply.load());
            Inbox inbox = inFlight.get(reply.attempt());
            if (inbox != null) {
                inbox.add(new AttemptEvent(this, reply));
            }
        }
    }

    private void updateLoad(Connection connection, Load reported) {
        synchronized (lock) {
            if (isFromCurrentProcess(connection)) {
                updateLoad(reported);
            }
        }
    }

    private void updateLoad(Load reported) {
        load = reported;
        sentCost.set(0);
        sentCount.set(0);
    }

    private void handleLeaving(Connection connection, Leaving notice) {
        synchronized (lock) {
            if (!isFromCurrentProcess(connection)) {
                return;
            }
            leaving = true;
            keysAtShutdown = Set.copyOf(notice.keys());
            sendNow(new LeavingHeard());
        }
        context.poolChanged().accept(vm.pool());
        logger.atInfo().log("event=endpoint-leaving endpoint=%s", vm.name());
    }

    @Override
    public void stop() {
        heartbeats.ifPresent(Subscription::cancel);
        synchronized (lock) {
            stopped = true;
            reportAllLost();
        }
        dialer.stop();
    }
}
