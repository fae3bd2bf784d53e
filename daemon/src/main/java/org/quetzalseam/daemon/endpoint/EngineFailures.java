package org.quetzalseam.daemon.endpoint;

import org.quetzalseam.daemon.HttpClients;
import org.quetzalseam.daemon.engine.EngineException;
import org.quetzalseam.wire.message.FailureCode;

/** Converts failures of engines to failure codes of the protocol. Stateless. */
final class EngineFailures {
    private EngineFailures() {}

    static EngineException of(Throwable failure) {
        Throwable cause = HttpClients.cause(failure);
        return cause instanceof EngineException known
                ? known
                : new EngineException(EngineException.Code.FAILED, String.valueOf(cause), cause);
    }

    static FailureCode code(EngineException failure) {
        return switch (failure.code()) {
            case TRANSFER_LOST -> FailureCode.TRANSFER_LOST;
            case CANCELLED -> FailureCode.CANCELLED;
            default -> FailureCode.BACKEND_FAILED;
        };
    }
}
