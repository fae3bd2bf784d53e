package org.quetzalseam.wire.message;

import java.util.Locale;

/** Why a started attempt could not be completed. */
public enum FailureCode {
    /** The KV cache was removed before the decode engine had fetched it. */
    TRANSFER_LOST,
    /** The engine or service failed or ended its response early. */
    BACKEND_FAILED,
    /** The engine or service did not answer in time. */
    BACKEND_TIMEOUT,
    /** The entry's lease expired, or the entry cancelled the attempt. */
    CANCELLED,
    /** The endpoint does not know the attempt, for example because it was restarted. */
    UNKNOWN_ATTEMPT;

    /** Returns the name used in callers' error bodies, logs and metrics. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
