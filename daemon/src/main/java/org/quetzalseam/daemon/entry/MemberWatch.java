package org.quetzalseam.daemon.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.quetzalseam.daemon.platform.ObjectStore;
import org.quetzalseam.daemon.platform.StoreException;
import org.quetzalseam.daemon.platform.WatchLoop;
import org.quetzalseam.wire.runtime.Service;

/** Follows the platform's list of VMs, and retries during an outage of the store. Thread-safe. */
final class MemberWatch implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final ObjectStore store;
    private final SiteSync site;
    private final WatchLoop loop;
    private long lastReadStartedAt;
    private boolean lastReadSucceeded;

    MemberWatch(ObjectStore store, SiteSync site, String processName) {
        this.store = store;
        this.site = site;
        this.loop = new WatchLoop(processName + "-member-watch", this::follow);
    }

    @Override
    public void start() {
        loop.start();
    }

    private void follow(Duration wait) {
        site.offerMembers(store.members(site.membersVersion(), wait));
    }

    /**
     * Reads the list again. Returns true when a read that began after this call has succeeded; concurrent callers share
     * reads.
     */
    boolean refresh() {
        long calledAt = System.nanoTime();
        synchronized (this) {
            if (lastReadSucceeded && lastReadStartedAt - calledAt > 0) {
                return true;
            }
            lastReadStartedAt = System.nanoTime();
            try {
                site.offerMembers(store.members(0, Duration.ZERO));
                lastReadSucceeded = true;
            } catch (StoreException e) {
                logger.atFine().log("event=member-read-failed reason=\"%s\"", e.getMessage());
                lastReadSucceeded = false;
            }
            return lastReadSucceeded;
        }
    }

    @Override
    public void stop() {
        loop.stop();
    }
}
