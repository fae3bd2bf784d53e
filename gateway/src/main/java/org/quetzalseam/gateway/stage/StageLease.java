package org.quetzalseam.gateway.stage;

import com.google.common.flogger.FluentLogger;
import org.quetzalseam.core.generation.OrderEpoch;
import org.quetzalseam.core.generation.OrderLease;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.core.store.UnreadableException;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.ObjectFaults;
import org.quetzalseam.gateway.store.ObjectStore;
import org.quetzalseam.gateway.store.StoreFailure;
import org.quetzalseam.gateway.store.StoredObject;

/**
 * The lease, in the platform's store, that permits an entry to order one service's engines between stages. Used on the event loop
 * only.
 *
 * <p>Where the store was restored from an older copy, its record counts as nobody's, whatever holder it names: the record of a
 * later holder may have been lost with all that was written since the copy. The holder loses the lease, and it is taken over like
 * the lease of a holder that has stopped renewing.
 */
final class StageLease {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** The kind of the lease's record in the store. */
    private static final String KIND = "quetzalseam-leases";
    /** How often the holder renews and others check the lease, in milliseconds: a take-over within some seconds with few calls. */
    static final long RENEW_INTERVAL_MILLIS = 4_000;
    /**
     * How long a new holder waits before its first order, in milliseconds: longer than the longest lease that engines are known to
     * assume, and longer than an order may be in flight.
     */
    private static final long FIRST_ORDER_DELAY_MILLIS = 5_000;
    /** Stands for a record that cannot be read. */
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

    /** Creates the lease of a site that starts for the first time. */
    StageLease(Timers timers, ObjectStore store, String service, String entryName) {
        this(timers, store, service, entryName, true);
    }

    /**
     * Creates the lease as this entry sees it.
     *
     * @param firstStart whether the whole site starts for the first time, so that a missing record has had no previous holder
     */
    StageLease(Timers timers, ObjectStore store, String service, String entryName, boolean firstStart) {
        this.timers = timers;
        this.store = store;
        this.service = service;
        this.entryName = entryName;
        this.firstStart = firstStart;
        this.lease = new OrderLease(entryName, RENEW_INTERVAL_MILLIS, FIRST_ORDER_DELAY_MILLIS);
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

    /** Reads, renews, checks or takes over the lease, as its state requires. */
    void maintain() {
        if (callInFlight) {
            return;
        }
        begin(() -> {
            if (!lease.isKnown()) {
                read();
            } else if (lease.isHeld()) {
                renew(() -> {});
            } else if (lease.hasLapsed(timers.now())) {
                takeOver(true);
            } else {
                checkHolder();
            }
        });
    }

    /** Begins a call; if that fails none is in flight, so that the next one is made. */
    private void begin(Runnable call) {
        try {
            call.run();
        } catch (Throwable e) {
            callInFlight = false;
            throw e;
        }
    }

    /**
     * Checks whether another holder renews the lease. A stale answer at worst delays a take-over, because the take-over itself is a
     * conditional write.
     */
    private void checkHolder() {
        callInFlight = true;
        store.readRecent(KIND, service, this::onRecord, this::checkFailed);
    }

    /** Handles a failed check; a stale answer may lack a record that exists by now, so the store is read again. */
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
        if (cannotExpressEra(known)) {
            return;
        }
        callInFlight = true;
        LeaseRecord first = new LeaseRecord(entryName, OrderEpoch.after(known), 0);
        store.create(
                KIND, service, first.toJson(), object -> onCreated(object, known, first.epoch()), this::createFailed);
    }

    /**
     * Handles the creation of a record. A previous record that was deleted may have had any epoch up to the position of the
     * creation: a record with a lower epoch is not held but replaced.
     */
    private void onCreated(StoredObject object, StorePosition positionBefore, long epoch) {
        boolean mayFollowHolder =
                recordEverSeen || !firstStart || object.position().era() != positionBefore.era();
        if (epoch >= OrderEpoch.highestAt(object.position())) {
            onAcquired(object, mayFollowHolder, NO_HOLDER_NAME);
        } else {
            onRecord(object);
            takeOver(mayFollowHolder);
        }
    }

    /** Returns whether epochs cannot express the era of the store's answers; nobody may order under such epochs. */
    private boolean cannotExpressEra(StorePosition position) {
        boolean inexpressible = !OrderEpoch.expressible(position.era());
        if (inexpressible) {
            logger.atWarning().log("event=lease-impossible service=%s era=%d", service, position.era());
        }
        return inexpressible;
    }

    /** Handles a failed creation. Another entry may have been first; the next call of {@link #maintain} reads the record. */
    private void createFailed(StoreFailure failure) {
        callInFlight = false;
        logger.atInfo().log("event=lease-not-created service=%s kind=%s", service, failure.kind());
    }

    /** Renews the lease, and calls back once the store has confirmed the renewal. */
    void renew(Runnable confirmed) {
        if (callInFlight) {
            return;
        }
        begin(() -> sendRenewal(confirmed));
    }

    private void sendRenewal(Runnable confirmed) {
        callInFlight = true;
        long steadyNanos = timers.now();
        long wallMillis = timers.wallMillis();
        LeaseRecord renewed = record.renewed();
        store.replace(
                KIND,
                service,
                lease.position(),
                renewed.toJson(),
                object -> {
                    onRecord(object);
                    // Answers of the store state no request, so this one may be a copy of an earlier answer.
                    if (lease.isHeld() && record.equals(renewed)) {
                        lease.renewed(steadyNanos, wallMillis);
                        confirmed.run();
                    }
                },
                this::writeFailed);
    }

    /** Takes the lease over; {@code mayFollowHolder} states whether another holder's orders may still be in flight. */
    private void takeOver(boolean mayFollowHolder) {
        if (cannotExpressEra(lease.position())) {
            return;
        }
        callInFlight = true;
        String previousHolder = holder();
        // Above every epoch ever assigned, including those that this process has not seen and that the record no longer
        // shows.
        LeaseRecord mine = new LeaseRecord(entryName, OrderEpoch.after(lease.position()), 0);
        store.replace(
                KIND,
                service,
                lease.position(),
                mine.toJson(),
                object -> onAcquired(object, mayFollowHolder, previousHolder),
                this::writeFailed);
    }

    private String holder() {
        return record.holder().isEmpty() ? NO_HOLDER_NAME : record.holder();
    }

    /** Handles a record that this process has written in place of another holder's or where nobody held the lease. */
    private void onAcquired(StoredObject object, boolean mayFollowHolder, String previousHolder) {
        onRecord(object);
        if (lease.isHeld()) {
            lease.acquired(mayFollowHolder, timers.now());
            logger.atInfo().log(
                    "event=lease-taken service=%s epoch=%d before=%s", service, lease.epoch(), previousHolder);
        }
    }

    private void onRecord(StoredObject object) {
        callInFlight = false;
        if (object.position().isBefore(lease.position())) {
            // A stale answer: the known record is newer.
            return;
        }
        boolean heldBefore = lease.isHeld();
        recordEverSeen = true;
        newestPosition = StorePosition.later(newestPosition, object.position());
        record = parse(object);
        highestEpoch = Math.max(highestEpoch, record.epoch());
        lease.observe(record.holder(), record.epoch(), object.position(), timers.now());
        if (!heldBefore && lease.isHeld()) {
            // An order of a previous holder may still be in flight.
            lease.acquired(true, timers.now());
        }
        if (heldBefore && !lease.isHeld()) {
            logger.atInfo().log("event=lease-lost service=%s to=%s epoch=%d", service, holder(), record.epoch());
        }
    }

    /**
     * Parses the record. A record that cannot be read was left by another writer, as was one whose epoch is below one seen
     * before or above what entries can have reached by its revision. It counts as nobody's: the holder loses the lease, and it is
     * taken over like the lease of a holder that has stopped renewing. Leaving the record as it is would keep the engines in their
     * stages until an operator notices; replacing it at once would race with an order that the last holder gave before it could
     * notice.
     */
    private LeaseRecord parse(StoredObject object) {
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
     * Handles a failed write. The write may have taken effect nevertheless, so the record is read before anything else. Where it
     * certainly had no effect, the known record is wrong, and its position may never be reached again, so it is forgotten.
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
