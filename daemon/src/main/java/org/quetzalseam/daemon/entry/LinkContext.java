package org.quetzalseam.daemon.entry;

import java.util.function.Consumer;
import org.quetzalseam.daemon.settings.Settings.Timing;
import org.quetzalseam.wire.connection.Identity;
import org.quetzalseam.wire.connection.SiteKey;
import org.quetzalseam.wire.connection.Transport;
import org.quetzalseam.wire.runtime.TimerService;

/**
 * Holds what all links of an entry share. Immutable.
 *
 * @param self the identity of the entry
 * @param key the site's key
 * @param transport creates the sockets
 * @param timers the timer service
 * @param timing intervals and limits of time
 * @param site the site's state at this entry
 * @param quarantine learns of crashed back ends
 * @param poolChanged called with the name of a pool when one of its endpoints announces its shutdown
 */
record LinkContext(
        Identity self,
        SiteKey key,
        Transport transport,
        TimerService timers,
        Timing timing,
        SiteSync site,
        Quarantine quarantine,
        Consumer<String> poolChanged) {}
