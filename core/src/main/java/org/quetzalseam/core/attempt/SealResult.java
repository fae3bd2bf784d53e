package org.quetzalseam.core.attempt;

/** State of an attempt that an endpoint reports when it is asked to seal the attempt. */
public enum SealResult {
    /** The attempt had not started and can no longer start. */
    BEFORE_START,
    /** The attempt has started and is still running. */
    STARTED,
    /** The attempt has started and has ended. */
    FINISHED
}
