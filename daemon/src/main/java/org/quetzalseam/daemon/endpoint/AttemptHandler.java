package org.quetzalseam.daemon.endpoint;

import org.quetzalseam.wire.message.AttemptMessage;

/**
 * Handles the messages that entries send about attempts at one kind of back end. Implementations are thread-safe and do
 * not block.
 */
interface AttemptHandler {
    /** Handles a message of an entry. Returns false when this kind of back end does not handle such messages. */
    boolean handle(AttemptMessage message);

    /** Returns the admission of attempts to the back end. */
    Admission admission();
}
