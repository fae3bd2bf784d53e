package org.quetzalseam.gateway.caller;

import org.quetzalseam.core.routing.CallerLimits;

/** The limits in force for callers; read at each use, so that a change holds for open connections too. */
@FunctionalInterface
public interface CallerLimitsSupplier {
    /** Returns the limits in force now. */
    CallerLimits current();
}
