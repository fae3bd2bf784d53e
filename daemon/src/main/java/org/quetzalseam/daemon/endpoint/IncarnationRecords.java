package org.quetzalseam.daemon.endpoint;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.core.store.UnreadableException;
import org.quetzalseam.daemon.Json;
import org.quetzalseam.daemon.platform.ObjectStore;
import org.quetzalseam.daemon.platform.StoreException;
import org.quetzalseam.daemon.platform.StoredObject;

/**
 * Determines which idempotency keys the previous incarnation of this process, the one that ran under the same name, may
 * have seen. Each incarnation keeps a record in the platform's store, written once when it starts and once when it
 * stops as planned. An incarnation that finds no record has no predecessor. One that finds the record of a planned stop
 * knows all keys that its predecessor has seen. Any other must assume that its predecessor crashed and may have seen
 * any key. So must one that sees the state of an older copy to which the store was restored, because the record of a
 * later incarnation may be lost. Thread-safe.
 */
final class IncarnationRecords {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /**
     * The stored record of one incarnation, written as JSON under the names of the components. Immutable.
     *
     * @param incarnation incarnation of the process
     * @param left whether it stopped as planned
     * @param atMillis when the record was written, in milliseconds of the epoch
     * @param era the store's era when it was written
     * @param keys digests of the keys it had seen, if it stopped as planned; else empty
     */
    record IncarnationRecord(long incarnation, boolean left, long atMillis, long era, List<String> keys) {
        IncarnationRecord {
            keys = List.copyOf(keys);
        }
    }

    private final ObjectStore store;
    private final String name;
    private final long incarnation;
    private long storeVersion;
    private Optional<Set<String>> predecessorKeys = Optional.empty();
    private boolean startRecorded;

    IncarnationRecords(ObjectStore store, String processName, long incarnation) {
        this.store = store;
        this.name = "tenure-" + processName;
        this.incarnation = incarnation;
    }

    /** Returns whether the predecessor, if there was one, may have seen a key. */
    synchronized boolean mayHaveBeenSeen(String key) {
        return predecessorKeys.map(keys -> keys.contains(key)).orElse(true);
    }

    /**
     * Reads the predecessor's record and replaces it. Returns false when the store failed and the call must be retried.
     */
    synchronized boolean recordStart() {
        if (startRecorded) {
            return true;
        }
        try {
            Optional<StoredObject> previous = store.read(name);
            Optional<IncarnationRecord> record = previous.flatMap(IncarnationRecords::parse);
            if (record.isPresent() && record.get().incarnation() == incarnation) {
                storeVersion = previous.map(StoredObject::version).orElse(0L);
            } else {
                predecessorKeys = previous.isPresent() && record.isEmpty() ? Optional.empty() : keysSeenBy(record);
                storeVersion = write(newRecord(false, List.of()), previous);
            }
            startRecorded = true;
            return true;
        } catch (StoreException e) {
            logger.atInfo().log("event=tenure-unknown name=%s reason=\"%s\"", name, e.getMessage());
            return false;
        }
    }

    private Optional<Set<String>> keysSeenBy(Optional<IncarnationRecord> previous) {
        if (previous.isEmpty()) {
            return store.era() == StorePosition.NO_ERA ? Optional.of(Set.of()) : Optional.empty();
        }
        boolean isLatest = previous.get().left() && previous.get().era() == store.era();
        return isLatest ? Optional.of(Set.copyOf(previous.get().keys())) : Optional.empty();
    }

    private IncarnationRecord newRecord(boolean left, List<String> keys) {
        return new IncarnationRecord(incarnation, left, System.currentTimeMillis(), store.era(), keys);
    }

    /** Returns a record, or empty if another writer has spoilt it: the predecessor may then have seen any key. */
    private static Optional<IncarnationRecord> parse(StoredObject object) {
        try {
            return Optional.of(Json.read(object.value(), IncarnationRecord.class));
        } catch (IOException e) {
            logger.atWarning().log(
                    "event=object-unreadable kind=objects name=%s version=%d cause=\"%s\"",
                    object.name(), object.version(), UnreadableException.printable(String.valueOf(e.getMessage())));
            return Optional.empty();
        }
    }

    private long write(IncarnationRecord record, Optional<StoredObject> previous) {
        byte[] value = Json.write(record);
        return previous.isEmpty()
                ? store.create(name, value).version()
                : store.replace(name, value, previous.get().version()).version();
    }

    /** Writes the record of a planned stop. If the store cannot be reached, the successor assumes a crash. */
    synchronized void recordPlannedStop(List<String> keys) {
        if (!startRecorded) {
            return;
        }
        try {
            writePlannedStop(keys);
        } catch (StoreException e) {
            logger.atWarning().log("event=tenure-not-ended name=%s reason=\"%s\"", name, e.getMessage());
        }
    }

    /**
     * Writes the record of a planned stop. Reads the current record first, because only a response shows whether the
     * store was restored, and after a restore the version known from before may be that of another process's record.
     */
    private void writePlannedStop(List<String> keys) {
        Optional<StoredObject> current = store.read(name);
        if (StorePosition.ofNumber(storeVersion).era() == store.era()) {
            store.replace(name, Json.write(newRecord(true, keys)), storeVersion);
        } else if (isFromSuccessor(current)) {
            logger.atWarning().log("event=tenure-not-ended name=%s reason=\"a successor has begun\"", name);
        } else {
            write(newRecord(true, keys), current);
        }
    }

    /** Returns whether a successor may have written a record; one that can't be read may be a successor's. */
    private boolean isFromSuccessor(Optional<StoredObject> current) {
        if (current.isEmpty()) {
            return false;
        }
        return parse(current.get())
                .map(record -> record.incarnation() != incarnation && record.era() == store.era())
                .orElse(true);
    }
}
