package org.quetzalseam.wire.message;

/** Confirms a {@link Leaving}: the entry sends the endpoint no new work after this message. */
public record LeavingHeard() implements Message {}
