package org.quetzalseam.core.routing;

/** What may be repeated, and how an answer is delivered. */
public enum CallKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** May run once at most. */
    NON_IDEMPOTENT,
    /** A series of events; may run again only where its route says that it can be resumed. */
    STREAM
}
