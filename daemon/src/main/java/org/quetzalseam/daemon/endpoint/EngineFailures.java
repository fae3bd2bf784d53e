package org.quetzalseam.daemon.endpoint;

import java.util.function.Supplier;
import org.quetzalseam.daemon.HttpClients;
import org.quetzalseam.daemon.engine.EngineException;
import org.quetzalseam.wire.message.FailureCode;
import org.quetzalseam.wire.message.Work;

/** Converts failures of engines to failure codes of the protocol. Stateless. */
final class EngineFailures {
    private EngineFailures() {}

    static EngineException of(Throwable failure) {
        Throwable cause = HttpClients.cause(failure);
        return cause instanceof EngineException known
                ? known
                : new EngineException(EngineException.Code.FAILED, String.valueOf(cause), cause);
    }

    /** Records a failure of an engine that may be the end of its process. */
    static void record(
            BackendCrashes crashes, EngineException failure, Work work, Supplier<String> fingerprint, long sentAt) {
        if (failure.code() == EngineException.Code.FAILED && failure.getCause() != null) {
            crashes.recordLost(fingerprint.get(), sentAt);
        } else if (failure.code() == EngineException.Code.NOT_RUN) {
            crashes.recordNotSent(work);
        }
    }

    static FailureCode code(EngineException failure) {
        return switch (failure.code()) {
            case TRANSFER_LOST -> FailureCode.TRANSFER_LOST;
            case CANCELLED -> FailureCode.CANCELLED;
            default -> FailureCode.BACKEND_FAILED;
        };
    }
}
