package org.quetzalseam.daemon.endpoint;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.daemon.Json;
import org.quetzalseam.daemon.platform.ObjectStore;
import org.quetzalseam.daemon.platform.StoreException;
import org.quetzalseam.daemon.platform.StoredObject;

/**
 * Finds out what the process that ran under the same name before may have done with idempotency keys. Each process leaves
 * an object in the platform's store: one write when it starts, one when it stops as planned. A process that finds none has
 * no predecessor; one that finds the record of a planned stop knows all keys that were seen; any other must assume that
 * its predecessor crashed and may have seen any key. So must one that finds what an older copy of the store shows: a later process's
 * record may be gone. Thread-safe.
 */
final class IncarnationRecords {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /**
     * The object in the store. Immutable.
     *
     * @param incarnation incarnation of the process
     * @param left whether it stopped as planned
     * @param atMillis when the record was written, in milliseconds of the epoch
     * @param era the store's era when it was written
     * @param keys digests of the keys it had seen, when it stopped as planned
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

    /** Reads the predecessor's record and replaces it. Returns false when the store could not be reached: try again. */
    synchronized boolean recordStart() {
        if (startRecorded) {
            return true;
        }
        try {
            Optional<StoredObject> before = store.read(name);
            Optional<IncarnationRecord> mark = before.isPresent() ? Optional.of(mark(before.get())) : Optional.empty();
            if (mark.isPresent() && mark.get().incarnation() == incarnation) {
                storeVersion = before.get().version();
            } else {
                predecessorKeys = keysSeenBy(mark);
                storeVersion = write(mark(false, List.of()), before);
            }
            startRecorded = true;
            return true;
        } catch (StoreException | IOException e) {
            logger.atInfo().log("event=tenure-unknown name=%s reason=\"%s\"", name, e.getMessage());
            return false;
        }
    }

    private Optional<Set<String>> keysSeenBy(Optional<IncarnationRecord> before) {
        if (before.isEmpty()) {
            return store.era() == StorePosition.NO_ERA ? Optional.of(Set.of()) : Optional.empty();
        }
        boolean lastWord = before.get().left() && before.get().era() == store.era();
        return lastWord ? Optional.of(Set.copyOf(before.get().keys())) : Optional.empty();
    }

    private IncarnationRecord mark(boolean left, List<String> keys) {
        return new IncarnationRecord(incarnation, left, System.currentTimeMillis(), store.era(), keys);
    }

    private static IncarnationRecord mark(StoredObject object) throws IOException {
        return Json.read(object.value(), IncarnationRecord.class);
    }

    private long write(IncarnationRecord mark, Optional<StoredObject> before) {
        byte[] value = Json.write(mark);
        return before.isEmpty()
                ? store.create(name, value).version()
                : store.replace(name, value, before.get().version()).version();
    }

    /** Leaves the record of a planned stop. When the store can't be reached, the successor assumes a crash. */
    synchronized void recordPlannedStop(List<String> keys) {
        if (!startRecorded) {
            return;
        }
        try {
            writePlannedStop(keys);
        } catch (StoreException | IOException e) {
            logger.atWarning().log("event=tenure-not-ended name=%s reason=\"%s\"", name, e.getMessage());
        }
    }

    /** Reads the record first: only an answer tells whether the store came back, and a condition of before may name another's record. */
    private void writePlannedStop(List<String> keys) throws IOException {
        Optional<StoredObject> shown = store.read(name);
        if (StorePosition.ofNumber(storeVersion).era() == store.era()) {
            store.replace(name, Json.write(mark(true, keys)), storeVersion);
        } else if (isFromSuccessor(shown)) {
            logger.atWarning().log("event=tenure-not-ended name=%s reason=\"a successor has begun\"", name);
        } else {
            write(mark(true, keys), shown);
        }
    }

    private boolean isFromSuccessor(Optional<StoredObject> shown) throws IOException {
        if (shown.isEmpty()) {
            return false;
        }
        IncarnationRecord mark = mark(shown.get());
        return mark.incarnation() != incarnation && mark.era() == store.era();
    }
}
