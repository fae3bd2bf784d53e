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
 * Admits or refuses jobs, queues them, books slots for them, and ends them. Every admitted job releases its slot
 * exactly once, whether it ends, fails, is cancelled or loses its lease. Thread-safe.
 */
final class Admission {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MIN_RETRY_AFTER_MILLIS = 100;
    private static final double SMOOTHING_FACTOR = 0.1;

    /**
     * Rules by which jobs are admitted. Immutable.
     *
     * @param queue queue of waiting jobs, which decides their order
     * @param shedding whether jobs that would wait too long are refused at once
     * @param countRunning whether running jobs count towards the backlog, as for prefills, where a slot runs one job at
     *     a time
     * @param bookingPolicy how many slots are booked before they are free
     * @param longWindow maximum number of long jobs that may hold a slot without having started, because a slot that
     *     waits for its prefill is idle and unavailable to short work
     */
    record Rules(
            WorkQueue queue, boolean shedding, boolean countRunning, BookingPolicy bookingPolicy, int longWindow) {}

    private final Rules rules;
    private final SlotLedger ledger;
    private final AttemptTable<Job> table;
    private final JobRunner runner;
    private final Object lock = new Object();
    private final Map<AttemptId, Job> waiting = new HashMap<>();
    private final Map<AttemptId, Job> booked = new HashMap<>();
    private final Set<AttemptId> longUnstarted = new HashSet<>();
    private long runningCost;
    private double nanosPerCost;
    private double meanHoldNanos;
    private long leadMillis;
    private boolean draining;
    private volatile long lastTickNanos = System.nanoTime();

    Admission(Rules rules, SlotLedger ledger, AttemptTable<Job> table, JobRunner runner) {
        this.rules = rules;
        this.ledger = ledger;
        this.table = table;
        this.runner = runner;
    }

    AttemptTable<Job> table() {
        return table;
    }

    /**
     * Admits a job, or refuses it.
     *
     * @param job the job
     * @param queueLength maximum number of waiting jobs of its catalogue entry
     * @param lead expected time between booking and use, in milliseconds
     */
    void submit(Job job, int queueLength, long lead) {
        long now = System.nanoTime();
        RefusalReason refusal;
        long retryMillis;
        synchronized (lock) {
            leadMillis = lead;
            retryMillis = retryAfterMillis(job.queuedAttempt(), now);
            refusal = refusal(job.queuedAttempt(), queueLength, now);
            if (refusal == null) {
                if (!table.offer(job.id(), job, now)) {
                    answerRepeated(job);
                    return;
                }
                rules.queue().add(job.queuedAttempt());
                waiting.put(job.id(), job);
            }
        }
        if (refusal != null) {
            job.complete(new Refused(job.id(), refusal, retryMillis, load()));
            return;
        }
        runBookable();
    }

    /** Answers a request that arrived a second time, or after its attempt was sealed. */
    private void answerRepeated(Job job) {
        Job known = table.work(job.id());
        if (known == null) {
            job.complete(new Refused(job.id(), RefusalReason.SEALED, MIN_RETRY_AFTER_MILLIS, load()));
        } else {
            known.replay(0, load());
        }
    }

    private @Nullable RefusalReason refusal(QueuedAttempt queued, int queueLength, long now) {
        if (draining) {
            return RefusalReason.LEAVING;
        }
        if (rules.queue().waiting(queued.entry()) >= queueLength) {
            return RefusalReason.QUEUE_FULL;
        }
        boolean tooLate = backlogNanos(queued) > queued.deadlineNanos() - now;
        return rules.shedding() && tooLate ? RefusalReason.WAIT_TOO_LONG : null;
    }

    private long retryAfterMillis(QueuedAttempt queued, long now) {
        long excess = backlogNanos(queued) - (queued.deadlineNanos() - now);
        return Math.max(MIN_RETRY_AFTER_MILLIS, excess / NANOS_PER_MILLI);
    }

    private long backlogNanos(QueuedAttempt queued) {
        return backlogNanos(queued.workClass());
    }

    /** Returns the expected wait of work of a class that arrives now. Short work does not wait for long work. */
    private long backlogNanos(WorkClass workClass) {
        long cost = rules.queue().costAhead(workClass);
        if (cost == 0 && isBookable(workClass, extraSlots())) {
            return 0;
        }
        boolean waitsForRunning = rules.countRunning() && workClass == WorkClass.LONG;
        double nextSlotNanos = meanHoldNanos / ledger.capacity();
        return (long) (nextSlotNanos + (cost + (waitsForRunning ? runningCost : 0)) * nanosPerCost / ledger.capacity());
    }

    private int extraSlots() {
        return rules.bookingPolicy()
                .extraSlots(ledger.capacity(), (long) (meanHoldNanos / NANOS_PER_MILLI), leadMillis);
    }

    /** Books slots for waiting jobs and runs them, until no waiting job can be booked. */
    private void runBookable() {
        Optional<Job> next = bookNext();
        while (next.isPresent()) {
            runner.run(next.get());
            next = bookNext();
        }
    }

    private Optional<Job> bookNext() {
        synchronized (lock) {
            int extra = extraSlots();
            Optional<QueuedAttempt> queued = rules.queue().poll(candidate -> isBookable(candidate.workClass(), extra));
            if (queued.isEmpty()) {
                return Optional.empty();
            }
            AttemptId id = queued.get().id();
            Job job = waiting.remove(id);
            if (job == null || !ledger.book(id, queued.get().workClass(), extra)) {
                throw new IllegalStateException(
                        "attempt " + id + " was polled from the queue but no slot could be booked");
            }
            job.setBookedAt(System.nanoTime());
            booked.put(id, job);
            if (queued.get().workClass() == WorkClass.LONG) {
                longUnstarted.add(id);
            }
            runningCost += queued.get().cost();
            return Optional.of(job);
        }
    }

    private boolean isBookable(WorkClass workClass, int extra) {
        boolean inWindow = workClass == WorkClass.SHORT || longUnstarted.size() < rules.longWindow();
        return inWindow && ledger.isAvailable(workClass, extra);
    }

    /**
     * Starts a job that holds a slot. Returns false when it was sealed or its lease has expired: then it must not run.
     */
    boolean start(Job job) {
        if (!table.start(job.id(), System.nanoTime())) {
            return false;
        }
        boolean windowOpened;
        synchronized (lock) {
            windowOpened = longUnstarted.remove(job.id());
        }
        if (windowOpened) {
            runBookable();
        }
        return true;
    }

    /** Releases the slot of a job that has ended in whatever way. Further calls have no effect. */
    void finish(Job job) {
        long now = System.nanoTime();
        table.finish(job.id(), now);
        synchronized (lock) {
            if (ledger.release(job.id())) {
                booked.remove(job.id());
                longUnstarted.remove(job.id());
                runningCost -= job.queuedAttempt().cost();
                updateEstimates(job, now - job.bookedAtNanos());
            }
        }
        runBookable();
    }

    private void updateEstimates(Job job, long holdNanos) {
        double perCost = (double) holdNanos / job.queuedAttempt().cost();
        nanosPerCost = nanosPerCost == 0 ? perCost : nanosPerCost + SMOOTHING_FACTOR * (perCost - nanosPerCost);
        meanHoldNanos = meanHoldNanos == 0 ? holdNanos : meanHoldNanos + SMOOTHING_FACTOR * (holdNanos - meanHoldNanos);
    }

    /** Seals an attempt: one that has not started loses its queue entry or its slot. */
    SealResult seal(AttemptId id) {
        SealResult result = table.seal(id, System.nanoTime());
        Job job = table.work(id);
        if (result == SealResult.BEFORE_START && job != null) {
            refuseUnstarted(job, RefusalReason.SEALED);
        }
        return result;
    }

    /** Refuses a job that has not started and must not run. */
    void refuse(Job job, RefusalReason reason, long retryMillis) {
        if (table.seal(job.id(), System.nanoTime()) == SealResult.BEFORE_START) {
            job.complete(new Refused(job.id(), reason, retryMillis, load()));
            finish(job);
        }
    }

    /** Cancels an attempt, whether it waits, holds a slot or runs. */
    void cancel(AttemptId id) {
        SealResult result = seal(id);
        Job job = table.work(id);
        if (result == SealResult.STARTED && job != null) {
            runner.abort(job);
        }
    }

    private void refuseUnstarted(Job job, RefusalReason reason) {
        synchronized (lock) {
            rules.queue().remove(job.id());
            waiting.remove(job.id());
        }
        job.complete(new Refused(job.id(), reason, MIN_RETRY_AFTER_MILLIS, load()));
        finish(job);
    }

    /**
     * Ends jobs that have waited too long or whose lease has expired, and forgets those whose retention time is over.
     */
    void tick() {
        long now = System.nanoTime();
        if (now - lastTickNanos > table.leaseNanos() / 2) {
            // The process was paused, and heartbeats are still unread: the leases that they renew must not expire
            // first.
            table.renewAll(now);
        }
        lastTickNanos = now;
        List<Job> expired = new ArrayList<>();
        synchronized (lock) {
            for (QueuedAttempt queued : rules.queue().expire(now)) {
                Job job = waiting.remove(queued.id());
                if (job != null) {
                    expired.add(job);
                }
            }
        }
        for (Job job : expired) {
            if (table.seal(job.id(), now) == SealResult.BEFORE_START) {
                refuseUnstarted(job, RefusalReason.WAIT_TOO_LONG);
            }
        }
        table.expireLeases(now).forEach(this::endAfterLease);
        table.purge(now);
        runBookable();
    }

    private void endAfterLease(Job job) {
        boolean started = job.bookedAtNanos() != 0;
        job.complete(new Failed(job.id(), FailureCode.CANCELLED, "the entry's lease ran out", load()));
        if (started) {
            runner.abort(job);
        } else {
            refuseUnstarted(job, RefusalReason.SEALED);
        }
    }

    /** Admits no new jobs from now on and refuses those that wait, as not run. */
    void drain() {
        List<QueuedAttempt> unstarted;
        List<Job> jobs = new ArrayList<>();
        synchronized (lock) {
            draining = true;
            unstarted = rules.queue().drain();
            for (QueuedAttempt queued : unstarted) {
                Job job = waiting.remove(queued.id());
                if (job != null) {
                    jobs.add(job);
                }
            }
        }
        for (Job job : jobs) {
            if (table.seal(job.id(), System.nanoTime()) == SealResult.BEFORE_START) {
                refuseUnstarted(job, RefusalReason.LEAVING);
            }
        }
    }

    /** Returns the number of jobs that wait or hold a slot. */
    int jobCount() {
        synchronized (lock) {
            return waiting.size() + booked.size();
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
                    draining);
        }
    }
}
