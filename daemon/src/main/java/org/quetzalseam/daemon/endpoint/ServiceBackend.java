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
import org.quetzalseam.daemon.RequestFingerprint;
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
 * Admits calls and runs them on a plain service. A slot is one running call. It also holds the idempotency keys that
 * rendezvous hashing assigns to this endpoint, so that a key is checked where its call would run. Thread-safe.
 */
final class ServiceBackend implements AttemptHandler, JobRunner, Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Maximum time by which the clocks of callers may be ahead, and by which a list of VMs may lag behind. */
    private static final Duration CLOCK_MARGIN = Duration.ofSeconds(5);

    private final HttpServiceClient client;
    private final Sessions sessions;
    private final Admission admission;
    private final BackendCrashes crashes;
    private final IncarnationRecords incarnationRecords;
    private final long incarnation;
    private final KeyTable<AttemptReply> keys;
    private final KeptAnswers keptAnswers;
    private final long keyRetentionNanos;
    private final long startedAtNanos = System.nanoTime();
    private volatile long membersVersion;

    ServiceBackend(
            HttpServiceClient client,
            Sessions sessions,
            IncarnationRecords incarnationRecords,
            long incarnation,
            Duration keyRetention,
            BackendCrashes crashes,
            KeptAnswers keptAnswers,
            Function<JobRunner, Admission> admission) {
        this.keptAnswers = keptAnswers;
        this.client = client;
        this.sessions = sessions;
        this.incarnationRecords = incarnationRecords;
        this.incarnation = incarnation;
        this.keyRetentionNanos = keyRetention.toNanos();
        this.crashes = crashes;
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

    /** Records the highest version of the list of VMs that any entry uses. */
    void updateMembersVersion(long version) {
        synchronized (this) {
            membersVersion = Math.max(membersVersion, version);
        }
    }

    /** Returns the digests of the keys that were seen or fenced here and are not yet forgotten. */
    List<String> retainedKeys() {
        return keys.retainedKeys();
    }

    /** Reads the record of the previous incarnation and replaces it. Returns false when that must be retried. */
    boolean recordStart() {
        return incarnationRecords.recordStart();
    }

    /** Records the planned stop, with the keys seen here, for the next incarnation. */
    void recordPlannedStop() {
        incarnationRecords.recordPlannedStop(keys.retainedKeys());
    }

    void purgeKeys() {
        keys.purge(System.nanoTime());
    }

    @Override
    public boolean handle(AttemptMessage message) {
        if (message instanceof FenceKey fence) {
            boolean neverSeen = fence(fence);
            sessions.send(fence.attempt().entry(), new KeyFenced(fence.attempt(), neverSeen, admission.load()));
            return true;
        }
        if (!(message instanceof Call call)) {
            return false;
        }
        Job job = new Job(QueuedAttempts.of(call.attempt(), call.work(), 1), call, sessions);
        if (!call.key().isPresent() || claim(job, call.key())) {
            admission.submit(job, call.work().queueLength(), 0);
            releaseIfRefused(job, call);
        }
        return true;
    }

    /**
     * Fences a key here, unless it was or may have been seen here or by the previous incarnation. Returns whether it is
     * fenced.
     */
    private boolean fence(FenceKey fence) {
        boolean known = keys.isKnown(fence.key());
        boolean beforeThisProcess = mayBeOlder(fence.mintedAtMillis(), System.nanoTime() - startedAtNanos);
        if (!known && beforeThisProcess && incarnationRecords.mayHaveBeenSeen(fence.key())) {
            return false;
        }
        return keys.fence(fence.key(), System.nanoTime());
    }

    /** Claims the call's key. Returns whether the call is to be run; else the job has been or will be answered. */
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
            Optional<RefusalReason> refusal = uncertainty(use);
            if (refusal.isPresent()) {
                refuse(job, refusal.get());
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
                // The listener completes the job.
            }
        }
        return false;
    }

    /**
     * Returns the reason to refuse a key that is unknown here but may have been seen before, or empty if it cannot have
     * been.
     */
    private Optional<RefusalReason> uncertainty(KeyUse use) {
        long age = System.nanoTime() - startedAtNanos;
        boolean beforeThisProcess = mayBeOlder(use.mintedAtMillis(), age);
        if (beforeThisProcess && incarnationRecords.mayHaveBeenSeen(use.key())) {
            return Optional.of(RefusalReason.KEY_FORGOTTEN);
        }
        // Applies even if the previous incarnation had not seen the key: other endpoints may have relied on that and
        // run it.
        long unchanged = Duration.ofMillis(use.unchangedMillis()).toNanos();
        boolean uncertain = beforeThisProcess || mayBeOlder(use.mintedAtMillis(), unchanged);
        return uncertain ? Optional.of(RefusalReason.KEY_UNSURE) : Optional.empty();
    }

    /** Returns whether a key may have been used before a change that happened {@code nanosAgo} nanoseconds ago. */
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

    /** Returns the reply to an attempt with the same key, addressed to the attempt of the job. */
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
        if (job.request() instanceof Call call && crashes.refusesToRun(admission, job, call.work())) {
            return;
        }
        if (!(job.request() instanceof Call call) || !admission.start(job)) {
            job.complete(new Refused(job.id(), RefusalReason.SEALED, 0, admission.load()));
            admission.finish(job);
            return;
        }
        long sentAt = crashes.now();
        CompletableFuture<Void> unused = client.call(call)
                .thenAccept(answer -> {
                    crashes.recordEnded(() -> fingerprint(call));
                    finish(job, call, answer(job, answer));
                })
                .exceptionally(failure -> {
                    Throwable cause = HttpClients.cause(failure);
                    recordFailure(call, cause, sentAt);
                    finish(job, call, failure(job, cause));
                    return null;
                })
                .thenRun(() -> admission.finish(job));
    }

    private static String fingerprint(Call call) {
        return RequestFingerprint.of(call.work().owner(), call.work().entry(), call.method(), call.path(), call.body());
    }

    private void recordFailure(Call call, Throwable cause, long sentAt) {
        if (!(cause instanceof ServiceException known)) {
            return;
        }
        if (known.code() == ServiceException.Code.NO_ANSWER) {
            crashes.recordLost(fingerprint(call), sentAt);
        } else if (known.code() == ServiceException.Code.NOT_RUN) {
            crashes.recordNotSent(call.work());
        }
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
        if (reply instanceof Answer answer) {
            keptAnswers.add(job.id(), answer.body().length, System.nanoTime(), () -> forgetAnswer(job, call));
        }
    }

    private void forgetAnswer(Job job, Call call) {
        Failed lost =
                new Failed(job.id(), FailureCode.BACKEND_FAILED, "the answer is no longer kept", admission.load());
        job.forgetAnswer(lost);
        if (call.key().isPresent()) {
            keys.replaceAnswer(call.key().key(), lost);
        }
    }

    /**
     * Fails the job only: a started call cannot be cancelled, so it runs to its end, and its answer stays available
     * under its key.
     */
    @Override
    public void abort(Job job) {
        job.complete(new Failed(job.id(), FailureCode.CANCELLED, "cancelled", admission.load()));
    }
}
