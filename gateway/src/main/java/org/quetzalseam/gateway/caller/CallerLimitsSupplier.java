package org.quetzalseam.gateway.caller;

import org.quetzalseam.core.routing.CallerLimits;

/** Supplies the limits in force for callers. It is called at each use, so that a change applies to open connections too. */
@FunctionalInterface
public interface CallerLimitsSupplier {
    /** Returns the limits currently in force. */
    CallerLimits current();
}
