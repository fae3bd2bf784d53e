package org.quetzalseam.wire.message;

/** The entry has heard that the endpoint is stopping: no new work of its own comes after this. */
public record LeavingHeard() implements Message {}
