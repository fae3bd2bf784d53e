package org.quetzalseam.gateway.crash;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.crash.CrashLedger;
import org.quetzalseam.core.crash.CrashReport;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.core.store.UnreadableException;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.ObjectFaults;
import org.quetzalseam.gateway.store.ObjectStore;
import org.quetzalseam.gateway.store.PagedList;
import org.quetzalseam.gateway.store.StoreFailure;
import org.quetzalseam.gateway.store.StoredObject;

/**
 * Exchanges crash reports with the other entries through the platform's store: one object for each entry, which only that entry
 * writes. Used on the event loop only.
 */
final class CrashReports {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Kind of the store objects that hold the reports. */
    private static final String KIND = "quetzalseam-crashes";
    /** Maximum number of times in a row that a write which found another version of its object is repeated. */
    private static final int MAX_CONFLICTS = 3;

    private final Timers timers;
    private final ObjectStore store;
    private final String self;
    private final CrashLedger ledger;
    private final ObjectFaults faults = new ObjectFaults(KIND);
    private boolean ownKnown;
    private @Nullable StorePosition ownPosition;
    private CrashReport written = CrashReport.EMPTY;
    private boolean readOnce;
    private long readAt;

    CrashReports(Timers timers, ObjectStore store, String self, CrashLedger ledger) {
        this.timers = timers;
        this.store = store;
        this.self = self;
        this.ledger = ledger;
    }

    /** Returns how long ago the latest reading of all entries' reports began, in nanoseconds; {@link Long#MAX_VALUE} before that. */
    long ageNanos() {
        return readOnce ? timers.now() - readAt : Long.MAX_VALUE;
    }

    /** Returns whether the store has another report of this entry than the present one. */
    boolean outdated() {
        return !written.equals(ledger.ownReport(timers.now()));
    }

    /** Reads the reports of all entries, then states whether that succeeded. */
    void read(Consumer<Boolean> answered) {
        long askedAt = timers.now();
        PagedList.read(
                (after, done, failed) -> store.list(KIND, after, done, failed),
                list -> listed(list.objects(), askedAt, answered),
                failure -> failed("read", failure, answered));
    }

    private void listed(List<StoredObject> objects, long askedAt, Consumer<Boolean> answered) {
        long now = timers.now();
        ownPosition = null;
        Optional<CrashReport> own = Optional.empty();
        Map<String, CrashReport> others = new HashMap<>();
        for (StoredObject object : objects) {
            Optional<CrashReport> report = parse(object);
            if (object.name().equals(self)) {
                ownPosition = object.position();
                own = report;
            } else {
                report.ifPresent(known -> others.put(object.name(), known));
            }
        }
        ledger.learn(others, now);
        if (!ownKnown) {
            own.ifPresent(earlier -> ledger.inherit(earlier, now));
        }
        ownKnown = true;
        written = own.orElse(CrashReport.EMPTY);
        readOnce = true;
        readAt = askedAt;
        answered.accept(true);
    }

    private Optional<CrashReport> parse(StoredObject object) {
        try {
            CrashReport report = CrashReportObject.of(object.spec());
            faults.readable(object.name());
            return Optional.of(report);
        } catch (UnreadableException e) {
            faults.unreadable(object.name(), e);
            return Optional.empty();
        }
    }

    /** Writes the report of this entry, then states whether that succeeded. */
    void write(Consumer<Boolean> answered) {
        write(answered, MAX_CONFLICTS);
    }

    private void write(Consumer<Boolean> answered, int attemptsLeft) {
        if (!ownKnown) {
            // An earlier process of this entry may have written a report, which must not get lost.
            read(read -> {
                if (read) {
                    write(answered, attemptsLeft);
                } else {
                    answered.accept(false);
                }
            });
            return;
        }
        CrashReport report = ledger.ownReport(timers.now());
        Consumer<StoredObject> done = object -> {
            ownPosition = object.position();
            written = report;
            answered.accept(true);
        };
        Consumer<StoreFailure> failed = failure -> writeFailed(failure, answered, attemptsLeft);
        StorePosition position = ownPosition;
        if (position == null) {
            store.create(KIND, self, CrashReportObject.toJson(report), done, failed);
        } else {
            store.replace(KIND, self, position, CrashReportObject.toJson(report), done, failed);
        }
    }

    private void writeFailed(StoreFailure failure, Consumer<Boolean> answered, int attemptsLeft) {
        boolean otherVersion =
                failure.kind() == StoreFailure.Kind.CONFLICT || failure.kind() == StoreFailure.Kind.NOT_FOUND;
        if (!otherVersion || attemptsLeft == 0) {
            failed("written", failure, answered);
            return;
        }
        read(read -> {
            if (read) {
                write(answered, attemptsLeft - 1);
            } else {
                answered.accept(false);
            }
        });
    }

    private static void failed(String what, StoreFailure failure, Consumer<Boolean> answered) {
        logger.atInfo().log(
                "event=crash-reports-failed what=%s kind=%s detail=\"%s\"", what, failure.kind(), failure.detail());
        answered.accept(false);
    }
}
