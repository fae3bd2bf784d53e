package org.quetzalseam.daemon.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.admission.BookingPolicy;
import org.quetzalseam.core.admission.QueuedAttempt;
import org.quetzalseam.core.admission.SlotLedger;
import org.quetzalseam.core.admission.WorkClass;
import org.quetzalseam.core.admission.WorkQueue;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.core.attempt.AttemptTable;
import org.quetzalseam.core.attempt.SealResult;
import org.quetzalseam.wire.message.Failed;
import org.quetzalseam.wire.message.FailureCode;
import org.quetzalseam.wire.message.Load;
import org.quetzalseam.wire.message.RefusalReason;
import org.quetzalseam.wire.message.Refused;

/**
 * The gate itself: takes jobs in or refuses them, queues them, gives them places, and ends them. Every job that was taken
 * in gives its place back exactly once, whether it ends, fails, is cancelled or loses its lease. Thread-safe.
 */
final class Admission {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MIN_RETRY_MILLIS = 100;
    private static final double SMOOTHING = 0.1;

    /**
     * How jobs are admitted. Immutable.
     *
     * @param queue order of waiting jobs
     * @param shedding whether jobs that would wait too long are refused at once
     * @param countRunning whether running jobs count towards the backlog, as where a place does one job at a time
     * @param ahead how far places are booked in advance
     * @param longWindow most long jobs that may hold a place without having started: a place that waits for its prefill
     *     does nothing, and takes room from short work
     */
    record Rules(WorkQueue queue, boolean shedding, boolean countRunning, BookingPolicy ahead, int longWindow) {}

    private final Rules rules;
    private final SlotLedger ledger;
    private final AttemptTable<Job> table;
    private final Backend backend;
    private final Object lock = new Object();
    private final Map<AttemptId, Job> waiting = new HashMap<>();
    private final Map<AttemptId, Job> placed = new HashMap<>();
    private final Set<AttemptId> longUnstarted = new HashSet<>();
    private long runningCost;
    private double nanosPerCost;
    private double meanHoldNanos;
    private long leadMillis;
    private boolean leaving;
    private volatile long lastTick = System.nanoTime();

    Admission(Rules rules, SlotLedger ledger, AttemptTable<Job> table, Backend backend) {
        this.rules = rules;
        this.ledger = ledger;
        this.table = table;
        this.backend = backend;
    }

    AttemptTable<Job> table() {
        return table;
    }

    /**
     * Takes a job in, or refuses it.
     *
     * @param job the job
     * @param queueLength most jobs of its catalogue entry that may wait
     * @param lead expected time between booking and use, in milliseconds
     */
    void submit(Job job, int queueLength, long lead) {
        long now = System.nanoTime();
        RefusalReason refusal;
        long retryMillis;
        synchronized (lock) {
            leadMillis = lead;
            retryMillis = retryMillis(job.ticket(), now);
            refusal = refusal(job.ticket(), queueLength, now);
            if (refusal == null) {
                if (!table.offer(job.id(), job, now)) {
                    repeat(job);
                    return;
                }
                rules.queue().add(job.ticket());
                waiting.put(job.id(), job);
            }
        }
        if (refusal != null) {
            job.settle(new Refused(job.id(), refusal, retryMillis, load()));
            return;
        }
        pump();
    }

    /** Answers an order that came a second time, or after its attempt was sealed. */
    private void repeat(Job job) {
        Job known = table.work(job.id());
        if (known == null) {
            job.settle(new Refused(job.id(), RefusalReason.SEALED, MIN_RETRY_MILLIS, load()));
        } else {
            known.replay(0, load());
        }
    }

    private @Nullable RefusalReason refusal(QueuedAttempt ticket, int queueLength, long now) {
        if (leaving) {
            return RefusalReason.LEAVING;
        }
        if (rules.queue().waiting(ticket.entry()) >= queueLength) {
            return RefusalReason.QUEUE_FULL;
        }
        boolean late = backlogNanos(ticket) > ticket.deadlineNanos() - now;
        return rules.shedding() && late ? RefusalReason.WAIT_TOO_LONG : null;
    }

    private long retryMillis(QueuedAttempt ticket, long now) {
        long excess = backlogNanos(ticket) - (ticket.deadlineNanos() - now);
        return Math.max(MIN_RETRY_MILLIS, excess / NANOS_PER_MILLI);
    }

    private long backlogNanos(QueuedAttempt ticket) {
        return backlogNanos(ticket.workClass());
    }

    /** Returns how long work of a class that arrives now would wait. Short work doesn't wait for long work. */
    private long backlogNanos(WorkClass workClass) {
        long cost = rules.queue().costAhead(workClass);
        if (cost == 0 && placeable(workClass, extra())) {
            return 0;
        }
        boolean waitsForRunning = rules.countRunning() && workClass == WorkClass.LONG;
        double nextPlace = meanHoldNanos / ledger.capacity();
        return (long) (nextPlace + (cost + (waitsForRunning ? runningCost : 0)) * nanosPerCost / ledger.capacity());
    }

    private int extra() {
        return rules.ahead().extraSlots(ledger.capacity(), (long) (meanHoldNanos / NANOS_PER_MILLI), leadMillis);
    }

    /** Gives places to waiting jobs for as long as there are any. */
    private void pump() {
        Optional<Job> next = place();
        while (next.isPresent()) {
            backend.run(next.get());
            next = place();
        }
    }

    private Optional<Job> place() {
        synchronized (lock) {
            int extra = extra();
            Optional<QueuedAttempt> ticket = rules.queue().poll(candidate -> placeable(candidate.workClass(), extra));
            if (ticket.isEmpty()) {
                return Optional.empty();
            }
            AttemptId id = ticket.get().id();
            Job job = waiting.remove(id);
            if (job == null || !ledger.book(id, ticket.get().workClass(), extra)) {
                throw new IllegalStateException("attempt " + id + " was polled but can't be placed");
            }
            job.booked(System.nanoTime());
            placed.put(id, job);
            if (ticket.get().workClass() == WorkClass.LONG) {
                longUnstarted.add(id);
            }
            runningCost += ticket.get().cost();
            return Optional.of(job);
        }
    }

    private boolean placeable(WorkClass workClass, int extra) {
        boolean inWindow = workClass == WorkClass.SHORT || longUnstarted.size() < rules.longWindow();
        return inWindow && ledger.isAvailable(workClass, extra);
    }

    /** Starts a placed job. Returns false when it was sealed or its lease has run out: then it must not run. */
    boolean start(Job job) {
        if (!table.start(job.id(), System.nanoTime())) {
            return false;
        }
        boolean opened;
        synchronized (lock) {
            opened = longUnstarted.remove(job.id());
        }
        if (opened) {
            pump();
        }
        return true;
    }

    /** Takes back the place of a job that has ended in whatever way. Calling it again does no harm. */
    void ended(Job job) {
        long now = System.nanoTime();
        table.finish(job.id(), now);
        synchronized (lock) {
            if (ledger.release(job.id())) {
                placed.remove(job.id());
                longUnstarted.remove(job.id());
                runningCost -= job.ticket().cost();
                learn(job, now - job.bookedAt());
            }
        }
        pump();
    }

    private void learn(Job job, long holdNanos) {
        double perCost = (double) holdNanos / job.ticket().cost();
        nanosPerCost = nanosPerCost == 0 ? perCost : nanosPerCost + SMOOTHING * (perCost - nanosPerCost);
        meanHoldNanos = meanHoldNanos == 0 ? holdNanos : meanHoldNanos + SMOOTHING * (holdNanos - meanHoldNanos);
    }

    /** Seals an attempt: one that has not started gives up its place in the queue or the memory. */
    SealResult seal(AttemptId id) {
        SealResult result = table.seal(id, System.nanoTime());
        Job job = table.work(id);
        if (result == SealResult.BEFORE_START && job != null) {
            giveUp(job, RefusalReason.SEALED);
        }
        return result;
    }

    /** Drops an attempt wherever it stands. */
    void cancel(AttemptId id) {
        SealResult result = seal(id);
        Job job = table.work(id);
        if (result == SealResult.STARTED && job != null) {
            backend.abort(job);
        }
    }

    private void giveUp(Job job, RefusalReason reason) {
        synchronized (lock) {
            rules.queue().remove(job.id());
            waiting.remove(job.id());
        }
        job.settle(new Refused(job.id(), reason, MIN_RETRY_MILLIS, load()));
        ended(job);
    }

    /** Ends what has waited too long or lost its lease, and forgets what ended long ago. */
    void tick() {
        long now = System.nanoTime();
        if (now - lastTick > table.leaseNanos() / 2) {
            // The process was paused, and heartbeats wait to be read: what they renew must not lapse before that.
            table.renewAll(now);
        }
        lastTick = now;
        List<Job> late = new ArrayList<>();
        synchronized (lock) {
            for (QueuedAttempt ticket : rules.queue().expire(now)) {
                Job job = waiting.remove(ticket.id());
                if (job != null) {
                    late.add(job);
                }
            }
        }
        for (Job job : late) {
            if (table.seal(job.id(), now) == SealResult.BEFORE_START) {
                giveUp(job, RefusalReason.WAIT_TOO_LONG);
            }
        }
        table.expireLeases(now).forEach(this::lapse);
        table.purge(now);
        pump();
    }

    private void lapse(Job job) {
        boolean started = job.bookedAt() != 0;
        job.settle(new Failed(job.id(), FailureCode.CANCELLED, "the entry's lease ran out", load()));
        if (started) {
            backend.abort(job);
        } else {
            giveUp(job, RefusalReason.SEALED);
        }
    }

    /** Takes no new jobs from now on and hands back those that wait, as not run. */
    void leave() {
        List<QueuedAttempt> unstarted;
        List<Job> jobs = new ArrayList<>();
        synchronized (lock) {
            leaving = true;
            unstarted = rules.queue().drain();
            for (QueuedAttempt ticket : unstarted) {
                Job job = waiting.remove(ticket.id());
                if (job != null) {
                    jobs.add(job);
                }
            }
        }
        for (Job job : jobs) {
            if (table.seal(job.id(), System.nanoTime()) == SealResult.BEFORE_START) {
                giveUp(job, RefusalReason.LEAVING);
            }
        }
    }

    /** Returns how many jobs wait or hold a place. */
    int live() {
        synchronized (lock) {
            return waiting.size() + placed.size();
        }
    }

    Load load() {
        synchronized (lock) {
            long running = rules.countRunning() ? (long) (runningCost * nanosPerCost / ledger.capacity()) : 0;
            long backlog = Math.max(running, backlogNanos(WorkClass.LONG)) / NANOS_PER_MILLI;
            return new Load(
                    ledger.free(),
                    rules.queue().size(),
                    backlog,
                    backlogNanos(WorkClass.SHORT) / NANOS_PER_MILLI,
                    (long) (nanosPerCost / ledger.capacity()),
                    leaving);
        }
    }
}
