package org.quetzalseam.gateway.stage;

import com.google.common.flogger.FluentLogger;
import org.quetzalseam.core.generation.OrderEpoch;
import org.quetzalseam.core.generation.OrderLease;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.ObjectFaults;
import org.quetzalseam.gateway.store.ObjectStore;
import org.quetzalseam.gateway.store.StoreFailure;
import org.quetzalseam.gateway.store.StoredObject;
import org.quetzalseam.gateway.store.UnreadableException;

/**
 * The lease, in the platform's store, on ordering one service's engines between stages. Used on the event loop only.
 *
 * <p>Where the store has come back from an older copy, the record that it holds is nobody's, whomever it names: a later holder may
 * have been forgotten with what was written since. Whoever held the lease has lost it, and it is taken over like that of a holder
 * that has gone silent.
 */
final class StageLease {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Kind of the lease's record in the store. */
    private static final String KIND = "quetzalseam-leases";
    /** How often a holder renews and others look, in milliseconds: a take-over within some seconds at few calls. */
    static final long RENEW_INTERVAL_MILLIS = 4_000;
    /**
     * How long a new holder waits before its first order, in milliseconds: longer than the longest lease that engines are
     * known to assume, and than an order may be on its way.
     */
    private static final long FIRST_ORDER_DELAY_MILLIS = 5_000;
    /** Stands for a record that can't be read. */
    private static final LeaseRecord NO_HOLDER_RECORD = new LeaseRecord("", 0, 0);

    private static final String NO_HOLDER_NAME = "nobody";

    private final Timers timers;
    private final ObjectStore store;
    private final String service;
    private final String entryName;
    private final OrderLease lease;
    private final boolean firstStart;
    private final ObjectFaults faults = new ObjectFaults(KIND);
    private LeaseRecord record = NO_HOLDER_RECORD;
    private StorePosition newestPosition = StorePosition.NONE;
    private long highestEpoch;
    private boolean recordEverSeen;
    private boolean callInFlight;

    /** Creates a lease at a site that starts for the first time. */
    StageLease(Timers timers, ObjectStore store, String service, String self) {
        this(timers, store, service, self, true);
    }

    /**
     * Creates a lease.
     *
     * @param firstStart whether the whole site starts for the first time, so that a missing record never was another's
     */
    StageLease(Timers timers, ObjectStore store, String service, String self, boolean firstStart) {
        this.timers = timers;
        this.store = store;
        this.service = service;
        this.entryName = self;
        this.firstStart = firstStart;
        this.lease = new OrderLease(self, RENEW_INTERVAL_MILLIS, FIRST_ORDER_DELAY_MILLIS);
    }

    boolean held() {
        return lease.isHeld();
    }

    long epoch() {
        return lease.epoch();
    }

    boolean mayOrder() {
        return lease.mayOrder(timers.now(), timers.wallMillis());
    }

    /** Renews, looks at or takes over the lease, whichever is due. */
    void maintain() {
        if (callInFlight) {
            return;
        }
        if (!lease.isKnown()) {
            read();
        } else if (lease.isHeld()) {
            renew(() -> {});
        } else if (lease.hasLapsed(timers.now())) {
            takeOver(true);
        } else {
            checkHolder();
        }
    }

    /** Looks whether another holder renews. An old answer at worst puts a take-over off; taking over is conditional. */
    private void checkHolder() {
        callInFlight = true;
        store.readRecent(KIND, service, this::onRecord, this::checkFailed);
    }

    /** An old answer may lack the record that is there by now. */
    private void checkFailed(StoreFailure failure) {
        if (failure.kind() == StoreFailure.Kind.NOT_FOUND) {
            forget();
            read();
        } else {
            readFailed(failure);
        }
    }

    private void read() {
        callInFlight = true;
        store.read(KIND, service, this::onRecord, this::readFailed);
    }

    private void readFailed(StoreFailure failure) {
        callInFlight = false;
        if (failure.kind() == StoreFailure.Kind.NOT_FOUND && !lease.isKnown()) {
            create();
            return;
        }
        logger.atInfo().log(
                "event=lease-unread service=%s kind=%s detail=\"%s\"", service, failure.kind(), failure.detail());
    }

    private void create() {
        StorePosition known = StorePosition.later(store.position(), newestPosition);
        if (eraTooHighForEpochs(known)) {
            return;
        }
        callInFlight = true;
        LeaseRecord first = new LeaseRecord(entryName, OrderEpoch.after(known), 0);
        store.create(
                KIND, service, first.toJson(), object -> onCreated(object, known, first.epoch()), this::createFailed);
    }

    /** A record that has been gone may have stood under any epoch up to its creation: one below that is not held but replaced. */
    private void onCreated(StoredObject object, StorePosition before, long epoch) {
        boolean after = recordEverSeen || !firstStart || object.position().era() != before.era();
        if (epoch >= OrderEpoch.highestAt(object.position())) {
            onAcquired(object, after, NO_HOLDER_NAME);
        } else {
            onRecord(object);
            takeOver(after);
        }
    }

    /** Returns whether epochs can't tell the era of the store's answers from others: nobody may order by them then. */
    private boolean eraTooHighForEpochs(StorePosition position) {
        boolean inexpressible = !OrderEpoch.expressible(position.era());
        if (inexpressible) {
            logger.atWarning().log("event=lease-impossible service=%s era=%d", service, position.era());
        }
        return inexpressible;
    }

    /** Another entry may have been first; what stands in the store shows at the next turn. */
    private void createFailed(StoreFailure failure) {
        callInFlight = false;
        logger.atInfo().log("event=lease-not-created service=%s kind=%s", service, failure.kind());
    }

    /** Renews the lease, and calls once the store has confirmed it. */
    void renew(Runnable confirmed) {
        if (callInFlight) {
            return;
        }
        callInFlight = true;
        long steady = timers.now();
        long wall = timers.wallMillis();
        store.replace(
                KIND,
                service,
                lease.position(),
                record.renewed().toJson(),
                object -> {
                    onRecord(object);
                    lease.renewed(steady, wall);
                    confirmed.run();
                },
                this::writeFailed);
    }

    /** Takes the lease over; {@code after} tells whether another holder's orders may still be on their way. */
    private void takeOver(boolean after) {
        if (eraTooHighForEpochs(lease.position())) {
            return;
        }
        callInFlight = true;
        String before = holder();
        // Above all that were ever given, also above those that this process hasn't seen and the record doesn't tell
        // any more.
        LeaseRecord mine = new LeaseRecord(entryName, OrderEpoch.after(lease.position()), 0);
        store.replace(
                KIND,
                service,
                lease.position(),
                mine.toJson(),
                object -> onAcquired(object, after, before),
                this::writeFailed);
    }

    private String holder() {
        return record.holder().isEmpty() ? NO_HOLDER_NAME : record.holder();
    }

    /** Notes a record that this process has written in place of nobody's or another one's. */
    private void onAcquired(StoredObject object, boolean after, String before) {
        onRecord(object);
        if (lease.isHeld()) {
            lease.acquired(after, timers.now());
            logger.atInfo().log("event=lease-taken service=%s epoch=%d before=%s", service, lease.epoch(), before);
        }
    }

    private void onRecord(StoredObject object) {
        callInFlight = false;
        if (object.position().isBefore(lease.position())) {
            // An old answer: what is known already is newer.
            return;
        }
        boolean heldBefore = lease.isHeld();
        recordEverSeen = true;
        newestPosition = StorePosition.later(newestPosition, object.position());
        record = read(object);
        highestEpoch = Math.max(highestEpoch, record.epoch());
        lease.observe(record.holder(), record.epoch(), object.position(), timers.now());
        if (!heldBefore && lease.isHeld()) {
            // Nothing tells yet that no order of a holder before is on its way.
            lease.acquired(true, timers.now());
        }
        if (heldBefore && !lease.isHeld()) {
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
            if (OrderEpoch.era(found.epoch()) < object.position().era()) {
                logger.atInfo().log(
                        "event=lease-of-earlier-era service=%s holder=%s epoch=%d era=%d",
                        service,
                        found.holder(),
                        found.epoch(),
                        object.position().era());
                return NO_HOLDER_RECORD;
            }
            long highest = OrderEpoch.highestAt(object.position());
            if (found.epoch() < highestEpoch || found.epoch() > highest) {
                throw new UnreadableException(
                        UnreadableException.Code.NOT_ALLOWED,
                        "lease.epoch",
                        highestEpoch + " to " + highest,
                        Long.toString(found.epoch()));
            }
            faults.readable(service);
            return found;
        } catch (UnreadableException e) {
            faults.unreadable(service, e);
            return NO_HOLDER_RECORD;
        }
    }

    /**
     * The write may have had its effect all the same: what stands in the store is read before anything else. Where it had none for
     * sure, what was known of the record is wrong, and its position may never be reached again.
     */
    private void writeFailed(StoreFailure failure) {
        logger.atInfo().log(
                "event=lease-write-failed service=%s kind=%s detail=\"%s\"", service, failure.kind(), failure.detail());
        if (failure.kind() == StoreFailure.Kind.CONFLICT || failure.kind() == StoreFailure.Kind.NOT_FOUND) {
            forget();
        }
        read();
    }

    private void forget() {
        if (lease.isHeld()) {
            logger.atInfo().log("event=lease-lost service=%s to=%s epoch=%d", service, NO_HOLDER_NAME, lease.epoch());
        }
        lease.forget();
    }
}
