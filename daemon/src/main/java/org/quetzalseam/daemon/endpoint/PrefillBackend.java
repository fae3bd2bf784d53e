package org.quetzalseam.daemon.endpoint;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.quetzalseam.core.admission.WorkClass;
import org.quetzalseam.daemon.RequestFingerprint;
import org.quetzalseam.daemon.engine.Engine;
import org.quetzalseam.daemon.engine.EngineException;
import org.quetzalseam.daemon.engine.EngineRequest;
import org.quetzalseam.wire.message.AttemptMessage;
import org.quetzalseam.wire.message.Failed;
import org.quetzalseam.wire.message.FailureCode;
import org.quetzalseam.wire.message.Prefill;
import org.quetzalseam.wire.message.Prefilled;
import org.quetzalseam.wire.message.RefusalReason;
import org.quetzalseam.wire.message.Refused;

/** Admits prefills and runs them on an engine. A slot is one prompt being prefilled. Thread-safe. */
final class PrefillBackend implements AttemptHandler, JobRunner {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Engine engine;
    private final Sessions sessions;
    private final BackendCrashes crashes;
    private final Admission admission;

    PrefillBackend(Engine engine, Sessions sessions, BackendCrashes crashes, Function<JobRunner, Admission> admission) {
        this.engine = engine;
        this.sessions = sessions;
        this.crashes = crashes;
        this.admission = admission.apply(this);
    }

    @Override
    public Admission admission() {
        return admission;
    }

    @Override
    public boolean handle(AttemptMessage message) {
        if (!(message instanceof Prefill prefill)) {
            return false;
        }
        int cost = prefill.work().promptTokens();
        Job job = new Job(QueuedAttempts.of(prefill.attempt(), prefill.work(), cost), prefill, sessions);
        admission.submit(job, prefill.work().queueLength(), 0);
        return true;
    }

    @Override
    public void run(Job job) {
        if (job.request() instanceof Prefill prefill && crashes.refusesToRun(admission, job, prefill.work())) {
            return;
        }
        if (!(job.request() instanceof Prefill prefill) || !admission.start(job)) {
            job.complete(new Refused(job.id(), RefusalReason.SEALED, 0, admission.load()));
            admission.finish(job);
            return;
        }
        int priority = prefill.work().workClass() == WorkClass.SHORT ? 0 : 1;
        long sentAt = crashes.now();
        CompletableFuture<Void> unused = engine.prefill(
                        new EngineRequest(job.id().toString(), priority, prefill.body()))
                .thenAccept(transfer -> {
                    crashes.recordEnded(() -> fingerprint(prefill));
                    job.complete(new Prefilled(job.id(), transfer, admission.load()));
                })
                .exceptionally(failure -> {
                    fail(job, prefill, sentAt, failure);
                    return null;
                })
                .thenRun(() -> admission.finish(job));
    }

    private static String fingerprint(Prefill prefill) {
        return RequestFingerprint.of(prefill.work(), prefill.body());
    }

    private void fail(Job job, Prefill prefill, long sentAt, Throwable failure) {
        EngineException cause = EngineFailures.of(failure);
        EngineFailures.record(crashes, cause, prefill.work(), () -> fingerprint(prefill), sentAt);
        logger.atWarning().log("event=engine-failed attempt=%s reason=%s", job.id(), cause.getMessage());
        if (cause.code() == EngineException.Code.NOT_RUN) {
            job.complete(new Refused(job.id(), RefusalReason.BACKEND_DOWN, 0, admission.load()));
            return;
        }
        FailureCode code = EngineFailures.code(cause);
        job.complete(new Failed(job.id(), code, String.valueOf(cause.getMessage()), admission.load()));
    }

    @Override
    public void abort(Job job) {
        CompletableFuture<Void> unused = engine.cancel(job.id().toString()).thenRun(() -> {
            job.complete(new Failed(job.id(), FailureCode.CANCELLED, "cancelled", admission.load()));
            admission.finish(job);
        });
    }
}
