package org.quetzalseam.gateway.stage;

import com.google.common.flogger.FluentLogger;
import org.quetzalseam.core.generation.OrderLease;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.ObjectFaults;
import org.quetzalseam.gateway.store.ObjectStore;
import org.quetzalseam.gateway.store.StoreFailure;
import org.quetzalseam.gateway.store.StoredObject;
import org.quetzalseam.gateway.store.UnreadableException;

/** The lease, in the platform's store, on ordering one service's engines between stages. Used on the event loop only. */
final class StageLease {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Kind of the lease's record in the store. */
    private static final String KIND = "quetzalseam-leases";
    /** How often a holder renews and others look, in milliseconds: a take-over within some seconds at few calls. */
    static final long RENEW_MILLIS = 4_000;
    /**
     * How long a new holder waits before its first order, in milliseconds: longer than the longest lease that engines are
     * known to assume, and than an order may be on its way.
     */
    private static final long QUIET_MILLIS = 5_000;
    /** Stands for a record that can't be read. */
    private static final LeaseRecord NOBODYS = new LeaseRecord("", 0, 0);

    private static final String NOBODY = "nobody";

    private final Timers timers;
    private final ObjectStore store;
    private final String service;
    private final String self;
    private final OrderLease lease;
    private final ObjectFaults faults = new ObjectFaults(KIND);
    private LeaseRecord record = NOBODYS;
    private long highestEpoch;
    private boolean calling;

    StageLease(Timers timers, ObjectStore store, String service, String self) {
        this.timers = timers;
        this.store = store;
        this.service = service;
        this.self = self;
        this.lease = new OrderLease(self, RENEW_MILLIS, QUIET_MILLIS);
    }

    boolean held() {
        return lease.held();
    }

    long epoch() {
        return lease.epoch();
    }

    boolean mayOrder() {
        return lease.mayOrder(timers.now(), timers.wallMillis());
    }

    /** Renews, looks at or takes over the lease, whichever is due. */
    void keep() {
        if (calling) {
            return;
        }
        if (!lease.known()) {
            read();
        } else if (lease.held()) {
            renew(() -> {});
        } else if (lease.lapsed(timers.now())) {
            takeOver();
        } else {
            look();
        }
    }

    /** Looks whether another holder renews. An old answer at worst puts a take-over off; taking over is conditional. */
    private void look() {
        calling = true;
        store.readRecent(KIND, service, this::taken, this::readFailed);
    }

    private void read() {
        calling = true;
        store.read(KIND, service, this::taken, this::readFailed);
    }

    private void readFailed(StoreFailure failure) {
        calling = false;
        if (failure.kind() == StoreFailure.Kind.NOT_FOUND && !lease.known()) {
            create();
            return;
        }
        logger.atInfo().log(
                "event=lease-unread service=%s kind=%s detail=\"%s\"", service, failure.kind(), failure.detail());
    }

    private void create() {
        calling = true;
        LeaseRecord first = new LeaseRecord(self, 1, 0);
        store.create(KIND, service, first.json(), object -> won(object, false, NOBODY), this::createFailed);
    }

    /** Another entry may have been first; what stands in the store shows at the next turn. */
    private void createFailed(StoreFailure failure) {
        calling = false;
        logger.atInfo().log("event=lease-not-created service=%s kind=%s", service, failure.kind());
    }

    /** Renews the lease, and calls once the store has confirmed it. */
    void renew(Runnable confirmed) {
        if (calling) {
            return;
        }
        calling = true;
        long steady = timers.now();
        long wall = timers.wallMillis();
        store.replace(
                KIND,
                service,
                lease.revision(),
                record.renewed().json(),
                object -> {
                    taken(object);
                    lease.renewed(steady, wall);
                    confirmed.run();
                },
                this::writeFailed);
    }

    private void takeOver() {
        calling = true;
        String before = holder();
        LeaseRecord mine = new LeaseRecord(self, nextEpoch(), 0);
        store.replace(
                KIND, service, lease.revision(), mine.json(), object -> won(object, true, before), this::writeFailed);
    }

    /**
     * Returns an epoch above all that were ever given, also above those that this process has not seen and that the record
     * doesn't tell any more: none is above the revision at which it was written.
     */
    private long nextEpoch() {
        return lease.revision() + 1;
    }

    private String holder() {
        return record.holder().isEmpty() ? NOBODY : record.holder();
    }

    /** Notes a record that this process has written in place of nobody's or another one's. */
    private void won(StoredObject object, boolean after, String before) {
        taken(object);
        if (lease.held()) {
            lease.taken(after, timers.now());
            logger.atInfo().log("event=lease-taken service=%s epoch=%d before=%s", service, lease.epoch(), before);
        }
    }

    private void taken(StoredObject object) {
        calling = false;
        if (object.revision() < lease.revision()) {
            // An old answer: what is known already is newer.
            return;
        }
        boolean heldBefore = lease.held();
        record = read(object);
        highestEpoch = Math.max(highestEpoch, record.epoch());
        lease.seen(record.holder(), record.epoch(), object.revision(), timers.now());
        if (!heldBefore && lease.held()) {
            // Nothing tells yet that no order of a holder before is on its way.
            lease.taken(true, timers.now());
        }
        if (heldBefore && !lease.held()) {
            logger.atInfo().log("event=lease-lost service=%s to=%s epoch=%d", service, holder(), record.epoch());
        }
    }

    /**
     * Reads the record. One that can't be read is another writer's, as is one whose epoch is below one that was seen, or above
     * what entries can have reached by its revision. It is nobody's: whoever held the lease has lost it, and it is taken over
     * like that of a holder that has gone silent. To leave it for good would keep the engines as they are until an operator
     * sees it; to replace it at once would race with an order that the last holder gave before it could notice.
     */
    private LeaseRecord read(StoredObject object) {
        try {
            LeaseRecord found = LeaseRecord.of(object.spec());
            if (found.epoch() < highestEpoch || found.epoch() > object.revision()) {
                throw new UnreadableException(
                        UnreadableException.Code.NOT_ALLOWED,
                        "lease.epoch",
                        highestEpoch + " to its revision " + object.revision(),
                        Long.toString(found.epoch()));
            }
            faults.readable(service);
            return found;
        } catch (UnreadableException e) {
            faults.unreadable(service, e);
            return NOBODYS;
        }
    }

    /** The write may have had its effect all the same: what stands in the store is read before anything else. */
    private void writeFailed(StoreFailure failure) {
        logger.atInfo().log(
                "event=lease-write-failed service=%s kind=%s detail=\"%s\"", service, failure.kind(), failure.detail());
        read();
    }
}
