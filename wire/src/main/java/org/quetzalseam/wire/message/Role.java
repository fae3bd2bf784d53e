package org.quetzalseam.wire.message;

/** The role of a process. */
public enum Role {
    /** Accepts callers' connections and forwards their requests. */
    ENTRY,
    /** Serves one engine or service. */
    ENDPOINT
}
