package org.quetzalseam.daemon.caller;

import org.quetzalseam.daemon.entry.AnswerSink;
import org.quetzalseam.daemon.entry.RunResult;

/** Writes the answer to one completion request to the caller. Used by one thread. */
interface CallerAnswer extends AnswerSink {
    /**
     * Ends the answer. If the answer has not been started, throws the error for the caller instead.
     */
    void end(RunResult result);
}
