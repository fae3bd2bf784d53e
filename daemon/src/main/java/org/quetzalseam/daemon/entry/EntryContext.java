package org.quetzalseam.daemon.entry;

import org.quetzalseam.core.limits.RetryBudget;
import org.quetzalseam.daemon.operator.Metrics;
import org.quetzalseam.daemon.settings.Settings;
import org.quetzalseam.wire.runtime.TimerService;

/**
 * Holds what all requests of one entry share. Immutable.
 *
 * @param settings the process's settings
 * @param fleet the endpoints
 * @param site the site's state at this entry
 * @param members reads the list of VMs
 * @param quarantine the requests that have crashed back ends
 * @param retries the retry budgets of the owners
 * @param metrics the metrics
 * @param traces the traces of recent requests
 * @param timers the timer service
 */
record EntryContext(
        Settings settings,
        Fleet fleet,
        SiteSync site,
        MemberWatch members,
        Quarantine quarantine,
        RetryBudget retries,
        Metrics metrics,
        TraceLog traces,
        TimerService timers) {}
