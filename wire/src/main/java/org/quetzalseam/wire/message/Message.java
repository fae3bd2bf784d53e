package org.quetzalseam.wire.message;

/** A message between two processes of quetzalseam. Implementations are immutable records. */
public interface Message {}
