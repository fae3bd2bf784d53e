package org.quetzalseam.daemon.endpoint;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.quetzalseam.core.admission.WorkClass;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.daemon.RequestFingerprint;
import org.quetzalseam.daemon.engine.Engine;
import org.quetzalseam.daemon.engine.EngineException;
import org.quetzalseam.daemon.engine.EngineRequest;
import org.quetzalseam.daemon.engine.OutputSink;
import org.quetzalseam.wire.message.AttemptMessage;
import org.quetzalseam.wire.message.Book;
import org.quetzalseam.wire.message.Booked;
import org.quetzalseam.wire.message.Decode;
import org.quetzalseam.wire.message.Failed;
import org.quetzalseam.wire.message.FailureCode;
import org.quetzalseam.wire.message.Finished;
import org.quetzalseam.wire.message.RefusalReason;
import org.quetzalseam.wire.message.Refused;

/**
 * Admits decodes and runs them on an engine. A slot is a share of the engine's memory, held from booking until the last
 * output. Where slots are booked ahead, a decode whose slot is not free yet waits for it. Thread-safe.
 */
final class DecodeBackend implements AttemptHandler, JobRunner {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private final Engine engine;
    private final Sessions sessions;
    private final BackendCrashes crashes;
    private final Admission admission;
    private final int slots;
    private final Object lock = new Object();
    private final Set<AttemptId> running = new HashSet<>();
    private final Deque<WaitingDecode> waitingForSlot = new ArrayDeque<>();

    /** A started decode that waits until its slot is free. */
    private record WaitingDecode(Job job, Decode decode) {}

    DecodeBackend(
            Engine engine,
            Sessions sessions,
            int slots,
            BackendCrashes crashes,
            Function<JobRunner, Admission> admission) {
        this.engine = engine;
        this.sessions = sessions;
        this.slots = slots;
        this.crashes = crashes;
        this.admission = admission.apply(this);
    }

    @Override
    public Admission admission() {
        return admission;
    }

    @Override
    public boolean handle(AttemptMessage message) {
        if (message instanceof Book book) {
            int cost = book.work().outputTokens();
            Job job = new Job(QueuedAttempts.of(book.attempt(), book.work(), cost), book, sessions);
            admission.submit(job, book.work().queueLength(), book.leadMillis());
            return true;
        }
        if (message instanceof Decode decode) {
            decode(decode);
            return true;
        }
        return false;
    }

    @Override
    public void run(Job job) {
        if (job.request() instanceof Book book && crashes.refuses(admission, job, book.work())) {
            return;
        }
        job.sendInterim(new Booked(job.id(), admission.load()));
    }

    private void decode(Decode decode) {
        Job job = admission.table().work(decode.attempt());
        if (job != null && job.isStarted()) {
            // The entry has sent the message again after a lost connection.
            return;
        }
        if (job != null && job.request() instanceof Book book && crashes.refusesToRun(admission, job, book.work())) {
            return;
        }
        if (job == null || job.bookedAtNanos() == 0 || !admission.start(job)) {
            Refused refused = new Refused(decode.attempt(), RefusalReason.SEALED, 0, admission.load());
            sessions.send(decode.attempt().entry(), refused);
            return;
        }
        job.markStarted();
        synchronized (lock) {
            if (running.size() >= slots) {
                waitingForSlot.addLast(new WaitingDecode(job, decode));
                return;
            }
            running.add(job.id());
        }
        startOnEngine(job, decode);
    }

    private static String fingerprint(Book book, Decode decode) {
        return RequestFingerprint.of(book.work(), decode.body());
    }

    private void startOnEngine(Job job, Decode decode) {
        if (job.isComplete() || !(job.request() instanceof Book book)) {
            memoryFreed(job);
            return;
        }
        int priority = book.work().workClass() == WorkClass.SHORT ? 0 : 1;
        EngineRequest request = new EngineRequest(job.id().toString(), priority, decode.body());
        engine.decode(request, decode.transfer(), new JobSink(job, book, decode));
    }

    /**
     * Releases the slot of a job for which the engine no longer holds memory, and starts a decode that waits for one.
     */
    private void memoryFreed(Job job) {
        WaitingDecode next = null;
        synchronized (lock) {
            if (running.remove(job.id())) {
                next = waitingForSlot.pollFirst();
            }
            if (next != null) {
                running.add(next.job().id());
            }
        }
        admission.finish(job);
        if (next != null) {
            startOnEngine(next.job(), next.decode());
        }
    }

    @Override
    public void abort(Job job) {
        CompletableFuture<Void> unused = engine.cancel(job.id().toString()).thenRun(() -> {
            job.complete(new Failed(job.id(), FailureCode.CANCELLED, "cancelled", admission.load()));
            memoryFreed(job);
        });
    }

    private final class JobSink implements OutputSink {
        private final Job job;
        private final Book book;
        private final Decode decode;
        private final long sentAt = crashes.now();

        JobSink(Job job, Book book, Decode decode) {
            this.job = job;
            this.book = book;
            this.decode = decode;
        }

        @Override
        public void output(String text) {
            job.sendOutput(text, admission.load());
        }

        @Override
        public void ended(String reason) {
            crashes.recordEnded(() -> fingerprint(book, decode));
            job.complete(new Finished(job.id(), job.outputCount(), reason, admission.load()));
            memoryFreed(job);
        }

        @Override
        public void failed(EngineException failure) {
            if (failure.code() == EngineException.Code.CANCELLED) {
                // The engine is still freeing its memory; abort() releases the slot afterwards.
                return;
            }
            logger.atWarning().log(
                    "event=engine-failed attempt=%s outputs=%d reason=%s",
                    job.id(), job.outputCount(), failure.getMessage());
            EngineFailures.record(crashes, failure, book.work(), () -> fingerprint(book, decode), sentAt);
            FailureCode code = EngineFailures.code(failure);
            job.complete(new Failed(job.id(), code, String.valueOf(failure.getMessage()), admission.load()));
            abort(job);
        }
    }
}
