package org.quetzalseam.daemon.endpoint;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.quetzalseam.core.keyed.KeyTable;
import org.quetzalseam.core.keyed.KeyTable.Claim;
import org.quetzalseam.daemon.HttpClients;
import org.quetzalseam.daemon.service.HttpServiceClient;
import org.quetzalseam.daemon.service.ServiceAnswer;
import org.quetzalseam.daemon.service.ServiceException;
import org.quetzalseam.wire.message.Answer;
import org.quetzalseam.wire.message.AttemptMessage;
import org.quetzalseam.wire.message.AttemptReply;
import org.quetzalseam.wire.message.Call;
import org.quetzalseam.wire.message.Failed;
import org.quetzalseam.wire.message.FailureCode;
import org.quetzalseam.wire.message.FenceKey;
import org.quetzalseam.wire.message.KeyFenced;
import org.quetzalseam.wire.message.KeyUse;
import org.quetzalseam.wire.message.Load;
import org.quetzalseam.wire.message.RefusalReason;
import org.quetzalseam.wire.message.Refused;
import org.quetzalseam.wire.runtime.Service;

/**
 * The gate before a plain service: a place is one call that runs. It is also the holder of the idempotency keys that
 * rendezvous hashing gives to this endpoint, so that a key is decided on where its call would run. Thread-safe.
 */
final class ServiceBackend implements AttemptHandler, JobRunner, Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** By how much the clocks of callers may be ahead, and a list of VMs may lag behind. */
    private static final Duration CLOCK_MARGIN = Duration.ofSeconds(5);

    private final HttpServiceClient client;
    private final Sessions sessions;
    private final Admission admission;
    private final IncarnationRecords incarnationRecords;
    private final long incarnation;
    private final KeyTable<AttemptReply> keys;
    private final long keyRetentionNanos;
    private final long startedAtNanos = System.nanoTime();
    private volatile long membersVersion;

    ServiceBackend(
            HttpServiceClient client,
            Sessions sessions,
            IncarnationRecords tenure,
            long incarnation,
            Duration keyRetention,
            Function<JobRunner, Admission> admission) {
        this.client = client;
        this.sessions = sessions;
        this.incarnationRecords = tenure;
        this.incarnation = incarnation;
        this.keyRetentionNanos = keyRetention.toNanos();
        this.keys = new KeyTable<>(keyRetentionNanos);
        this.admission = admission.apply(this);
    }

    @Override
    public Admission admission() {
        return admission;
    }

    @Override
    public void start() {
        client.start();
    }

    @Override
    public void stop() {
        client.stop();
    }

    /** Notes the highest version of the list of VMs that any entry uses. */
    void updateMembersVersion(long version) {
        synchronized (this) {
            membersVersion = Math.max(membersVersion, version);
        }
    }

    /** Returns the digests of the keys seen or barred here and not yet forgotten. */
    List<String> retainedKeys() {
        return keys.retainedKeys();
    }

    /** Finds out about the process before this one. Returns false when that has to be tried again. */
    boolean recordStart() {
        return incarnationRecords.recordStart();
    }

    /** Leaves word for the process after this one. */
    void recordPlannedStop() {
        incarnationRecords.recordPlannedStop(keys.retainedKeys());
    }

    void purgeKeys() {
        keys.purge(System.nanoTime());
    }

    @Override
    public boolean handle(AttemptMessage order) {
        if (order instanceof FenceKey fence) {
            boolean neverSeen = fence(fence);
            sessions.send(fence.attempt().entry(), new KeyFenced(fence.attempt(), neverSeen, admission.load()));
            return true;
        }
        if (!(order instanceof Call call)) {
            return false;
        }
        Job job = new Job(QueuedAttempts.of(call.attempt(), call.work(), 1), call, sessions);
        if (!call.key().isPresent() || claim(job, call.key())) {
            admission.submit(job, call.work().queueLength(), 0);
            releaseIfRefused(job, call);
        }
        return true;
    }

    /** Bars a key here, unless it was or may have been seen here or by the process before. */
    private boolean fence(FenceKey fence) {
        boolean known = keys.isKnown(fence.key());
        boolean old = mayBeOlder(fence.mintedAtMillis(), System.nanoTime() - startedAtNanos);
        if (!known && old && incarnationRecords.mayHaveBeenSeen(fence.key())) {
            return false;
        }
        return keys.fence(fence.key(), System.nanoTime());
    }

    /** Claims the call's key. Returns whether the call is to be run; otherwise the job has been or will be answered. */
    private boolean claim(Job job, KeyUse use) {
        if (admission.load().leaving() && !keys.isKnown(use.key())) {
            refuse(job, RefusalReason.LEAVING);
            return false;
        }
        if (use.members() < membersVersion) {
            refuse(job, RefusalReason.OLD_MEMBERS);
            return false;
        }
        if (!keys.isKnown(use.key()) && use.fencedFor() != incarnation) {
            Optional<RefusalReason> doubt = uncertainty(use);
            if (doubt.isPresent()) {
                refuse(job, doubt.get());
                return false;
            }
        }
        Claim claim = keys.claim(
                use.key(), use.fingerprint(), reply -> job.complete(readdress(job, reply)), System.nanoTime());
        switch (claim) {
            case OWNED -> {
                return true;
            }
            case MISMATCH -> refuse(job, RefusalReason.KEY_MISMATCH);
            case FENCED -> refuse(job, RefusalReason.KEY_MOVED);
            case ATTACHED -> {
                // The listener answers.
            }
        }
        return false;
    }

    /** Returns why a key that is unknown here may have been seen before, if it may. */
    private Optional<RefusalReason> uncertainty(KeyUse use) {
        long age = System.nanoTime() - startedAtNanos;
        boolean beforeThisProcess = mayBeOlder(use.mintedAtMillis(), age);
        if (beforeThisProcess && incarnationRecords.mayHaveBeenSeen(use.key())) {
            return Optional.of(RefusalReason.KEY_FORGOTTEN);
        }
        // Also where the predecessor had not seen the key: others may have relied on that and run it.
        long unchanged = Duration.ofMillis(use.unchangedMillis()).toNanos();
        boolean doubtful = beforeThisProcess || mayBeOlder(use.mintedAtMillis(), unchanged);
        return doubtful ? Optional.of(RefusalReason.KEY_UNSURE) : Optional.empty();
    }

    /** Returns whether a key may have been used before a change that was {@code nanosAgo}. */
    private boolean mayBeOlder(long mintedAtMillis, long nanosAgo) {
        if (nanosAgo >= keyRetentionNanos) {
            return false;
        }
        long changedAt = System.currentTimeMillis() - Duration.ofNanos(nanosAgo).toMillis();
        return mintedAtMillis <= changedAt + CLOCK_MARGIN.toMillis();
    }

    private void refuse(Job job, RefusalReason reason) {
        job.complete(new Refused(job.id(), reason, 0, admission.load()));
    }

    /** Returns a reply to one attempt as a reply to another with the same key. */
    private static AttemptReply readdress(Job job, AttemptReply reply) {
        Load load = reply.load();
        if (reply instanceof Answer answer) {
            return new Answer(job.id(), answer.status(), answer.headers(), answer.body(), load);
        }
        if (reply instanceof Failed failed) {
            return new Failed(job.id(), failed.code(), failed.reason(), load);
        }
        return new Refused(job.id(), RefusalReason.SEALED, 0, load);
    }

    private void releaseIfRefused(Job job, Call call) {
        job.whenRefused(refused -> {
            if (call.key().isPresent()) {
                keys.release(call.key().key(), refused, System.nanoTime());
            }
        });
    }

    @Override
    public void run(Job job) {
        if (!(job.request() instanceof Call call) || !admission.start(job)) {
            job.complete(new Refused(job.id(), RefusalReason.SEALED, 0, admission.load()));
            admission.finish(job);
            return;
        }
        CompletableFuture<Void> unused = client.call(call)
                .thenAccept(answer -> finish(job, call, answer(job, answer)))
                .exceptionally(failure -> {
                    finish(job, call, failure(job, HttpClients.cause(failure)));
                    return null;
                })
                .thenRun(() -> admission.finish(job));
    }

    private AttemptReply answer(Job job, ServiceAnswer answer) {
        return new Answer(job.id(), answer.status(), answer.headers(), answer.body(), admission.load());
    }

    private AttemptReply failure(Job job, Throwable cause) {
        if (cause instanceof ServiceException known && known.code() == ServiceException.Code.NOT_RUN) {
            return new Refused(job.id(), RefusalReason.BACKEND_DOWN, 0, admission.load());
        }
        logger.atWarning().log("event=service-gave-no-answer attempt=%s reason=%s", job.id(), cause.getMessage());
        boolean timeout = cause instanceof ServiceException known && known.code() == ServiceException.Code.TIMEOUT;
        FailureCode code = timeout ? FailureCode.BACKEND_TIMEOUT : FailureCode.BACKEND_FAILED;
        return new Failed(job.id(), code, String.valueOf(cause.getMessage()), admission.load());
    }

    private void finish(Job job, Call call, AttemptReply reply) {
        if (call.key().isPresent() && !(reply instanceof Refused)) {
            keys.finish(call.key().key(), reply, System.nanoTime());
        }
        job.complete(reply);
    }

    /** A call that has begun can't be taken back: it runs to its end, and its answer stays readable for its key. */
    @Override
    public void abort(Job job) {
        job.complete(new Failed(job.id(), FailureCode.CANCELLED, "cancelled", admission.load()));
    }
}
