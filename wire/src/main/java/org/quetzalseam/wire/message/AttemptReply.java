package org.quetzalseam.wire.message;

/**
 * A report of an endpoint on an attempt, sent to the entry that holds the attempt. Every reply carries the endpoint's
 * load.
 */
public interface AttemptReply extends AttemptMessage {
    /** Returns the endpoint's load when it sent the reply. */
    Load load();
}
