package org.quetzalseam.wire.message;

import org.quetzalseam.core.attempt.AttemptId;

/** A message about one attempt. A receiver applies it to exactly that attempt and to no other. */
public interface AttemptMessage extends Message {
    /** Returns the attempt that the message is about. */
    AttemptId attempt();
}
