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
 * An entry's link to one endpoint: the connection, what is known of the endpoint, and the attempts that this entry has
 * there. Thread-safe.
 *
 * <p>After a lost connection the link resumes its attempts if the same incarnation of the endpoint answers within the
 * lease; otherwise each of them receives {@link AttemptEvent.Lost}.
 *
 * <p>The connection, what is known of the process at its other end, and the attempts in flight there change under one lock:
 * an attempt begun between two of these changes would be settled as one of the process before, and reported lost while it
 * runs. Nothing is called under the lock that takes locks of its own, as the site's state does.
 */
final class EndpointLink implements Service, Dialer.Listener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration LOSS_MARGIN = Duration.ofMillis(200);
    /** How often a wait for a connection looks for it: a part of a handshake. */
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

    /** Returns the keys that the endpoint had seen when it left, or null when it has not said so. */
    @Nullable
    Set<String> keysAtShutdown() {
        return keysAtShutdown;
    }

    /** Returns the incarnation of the endpoint that the link last reached. */
    long incarnation() {
        return incarnation;
    }

    void setListedLeaving(boolean nowLeaving) {
        listedLeaving = nowLeaving;
    }

    /** Waits for a connection while that is worthwhile and the time isn't up. Returns whether there is one. */
    boolean awaitConnected(Duration limit, BooleanSupplier worthwhile) {
        long end = System.nanoTime() + limit.toNanos();
        while (!connected()
                && worthwhile.getAsBoolean()
                && System.nanoTime() - end < 0
                && !Thread.currentThread().isInterrupted()) {
            LockSupport.parkNanos(CONNECTION_POLL_INTERVAL.toNanos());
        }
        return connected();
    }

    /** What an effort to connect has shown of the endpoint's process. */
    enum Reachability {
        /** There is a connection. */
        CONNECTED,
        /** No process answered at its address at some moment since the effort began. */
        DOWN,
        /** Neither, within the limit. */
        UNKNOWN,
        /** The link was dropped: the endpoint is off the list, or has another address there. */
        DROPPED
    }

    /** Finds out at once whether the endpoint's process is up, instead of when the link would dial next. */
    Reachability checkReachability(Duration limit) {
        long before = dialer.refusedAttempts();
        // The first refusal may answer an attempt that was made before.
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

    /** Returns whether no connection has been made yet, as to an endpoint that has just been listed. */
    boolean neverConnected() {
        return incarnation == 0;
    }

    boolean isDraining() {
        return leaving || listedLeaving || load.leaving();
    }

    /** Returns whether new work may be sent there. */
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

    /** Returns what placement is to know, with what this entry has sent since the endpoint's last report added. */
    Candidate candidate(WorkClass workClass) {
        Load now = load;
        long added = sentCost.get() * now.nanosPerCost() / Duration.ofMillis(1).toNanos();
        return new Candidate(
                vm.name(),
                vm.zone(),
                now.free() - sentCount.get(),
                (workClass == WorkClass.SHORT ? now.shortBacklogMillis() : now.backlogMillis()) + added);
    }

    Load load() {
        return load;
    }

    /**
     * Sends the first order of an attempt. Returns false when it certainly was not sent, as to a process that has said that it leaves;
     * questions about a key are put to that too.
     *
     * @param order the order
     * @param inbox receives what the endpoint says
     * @param cost cost of the work, to be counted until the endpoint's next report
     */
    boolean begin(AttemptMessage order, Inbox inbox, long cost) {
        synchronized (lock) {
            boolean unwanted = leaving && !(order instanceof FenceKey);
            if (unwanted || !sendNow(order)) {
                return false;
            }
            inFlight.put(order.attempt(), inbox);
            sentCost.addAndGet(cost);
            sentCount.incrementAndGet();
            return true;
        }
    }

    /**
     * Sends a further order of an attempt. When it is lost, resuming the attempt finds out. Returns false when it certainly
     * was not sent, as when the process that has the attempt is gone.
     */
    boolean send(AttemptMessage order) {
        synchronized (lock) {
            return inFlight.containsKey(order.attempt()) && sendNow(order);
        }
    }

    /** Sends what concerns no attempt, if there is a connection. */
    void sendOutsideAttempt(Message message) {
        synchronized (lock) {
            sendNow(message);
        }
    }

    private boolean sendNow(Message message) {
        Connection connection = current;
        return connection != null && connection.send(message);
    }

    /** Takes no more interest in an attempt that has ended there. */
    void forget(AttemptId id) {
        synchronized (lock) {
            inFlight.remove(id);
        }
    }

    /** Drops an attempt there. Should the message be lost, the lease does the same. */
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
        long process = connection.peer().incarnation();
        synchronized (lock) {
            if (stopped) {
                return;
            }
            connectionChanges++;
            if (process == incarnation) {
                inFlight.forEach((id, inbox) -> connection.send(new Resume(id, inbox.nextOutput())));
            } else {
                resetProcessState();
            }
            current = connection;
            incarnation = process;
            sendNow(new Heartbeat(List.copyOf(inFlight.keySet()), catalogue, members));
        }
        logger.atInfo().log("event=link-opened endpoint=%s incarnation=%x", vm.name(), process);
    }

    /** Settles what the process before had, and drops what it had said of itself. */
    private void resetProcessState() {
        leaving = false;
        keysAtShutdown = null;
        updateLoad(Load.unknown());
        reportAllLost();
    }

    @Override
    public void closed(Connection connection) {
        int left;
        long change;
        synchronized (lock) {
            if (current == connection) {
                current = null;
            }
            change = ++connectionChanges;
            left = inFlight.size();
        }
        context.timers().after(context.timing().lease().plus(LOSS_MARGIN), () -> reportLostUnlessChanged(change));
        logger.atInfo().log("event=link-closed endpoint=%s in_flight=%d", vm.name(), left);
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
            context.site().reconcile(this, ack);
        } else if (message instanceof SiteState state) {
            context.site().offer(state);
        } else if (message instanceof Leaving notice) {
            handleLeaving(connection, notice);
        }
    }

    /** Returns whether a message comes from the process that the link last reached, not late from the one before. */
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
