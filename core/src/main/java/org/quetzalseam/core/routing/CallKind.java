package org.quetzalseam.core.routing;

/** Kind of call: whether it may be repeated, and how its answer is delivered. */
public enum CallKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** May run at most once. */
    NON_IDEMPOTENT,
    /** Delivers a series of events; may run again only if its route is resumable. */
    STREAM
}
