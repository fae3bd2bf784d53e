package org.quetzalseam.gateway.peer;

import java.util.function.Consumer;
import org.quetzalseam.core.limits.PermitAnswer;
import org.quetzalseam.core.limits.PermitAsk;

/** Decides which requests other entries may send to endpoints that state limits. Used on the event loop only. */
public interface PermitIssuer {
    /** Answers the question of another entry, at once or later. */
    void answer(PermitAsk ask, Consumer<PermitAnswer> answered);
}
