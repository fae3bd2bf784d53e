package org.quetzalseam.daemon.endpoint;

import org.quetzalseam.wire.message.AttemptMessage;

/** What stands before one kind of back end. Implementations are thread-safe and don't block. */
interface AttemptHandler {
    /** Takes an order of an entry. Returns false when this kind of gate doesn't take such orders. */
    boolean handle(AttemptMessage order);

    /** Returns the gate's admission. */
    Admission admission();
}
