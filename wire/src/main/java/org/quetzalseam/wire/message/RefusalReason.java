package org.quetzalseam.wire.message;

import java.util.Locale;

/** Why an endpoint refused an attempt. In each case the attempt has not run. */
public enum RefusalReason {
    /** The queue already holds as many attempts of the catalogue entry as it may. */
    QUEUE_FULL,
    /** The attempt has waited as long as the catalogue allows, or is certain to. */
    WAIT_TOO_LONG,
    /** The endpoint is shutting down. */
    LEAVING,
    /** The attempt was sealed or cancelled before it started. */
    SEALED,
    /** The endpoint's engine or service cannot be reached. */
    BACKEND_DOWN,
    /** The endpoint does not handle this kind of work. */
    WRONG_ENDPOINT,
    /** The key was used before with another request. */
    KEY_MISMATCH,
    /** The key has moved to another endpoint. */
    KEY_MOVED,
    /** The pool has changed recently, so another of its endpoints may have seen the key. */
    KEY_UNSURE,
    /** The endpoint's process was started recently, and its previous incarnation may have seen the key. */
    KEY_FORGOTTEN,
    /** The entry chose the endpoint by an outdated list of VMs. */
    OLD_MEMBERS,
    /** The request has crashed back ends, and may not be probed now. Only probes are refused so. */
    QUARANTINED;

    /** Returns the name used in callers' error bodies, logs and metrics. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
