package org.quetzalseam.daemon.endpoint;

import java.time.Duration;
import org.quetzalseam.core.admission.QueuedAttempt;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.wire.message.Work;

/** Creates queued attempts from the work that entries describe in their messages. Stateless. */
final class QueuedAttempts {
    private static final long MAX_WAIT_MILLIS = Duration.ofDays(1).toMillis();

    private QueuedAttempts() {}

    static QueuedAttempt of(AttemptId id, Work work, long cost) {
        long wait = Math.max(0, Math.min(work.waitMillis(), MAX_WAIT_MILLIS));
        long deadline = System.nanoTime() + Duration.ofMillis(wait).toNanos();
        return new QueuedAttempt(
                id,
                work.owner(),
                work.entry(),
                work.workClass(),
                Math.max(1, work.weight()),
                Math.max(1, cost),
                deadline);
    }
}
