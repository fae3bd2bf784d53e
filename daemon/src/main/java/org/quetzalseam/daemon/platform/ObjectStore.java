package org.quetzalseam.daemon.platform;

import java.time.Duration;
import java.util.Optional;

/**
 * The platform's object store and its list of VMs. Implementations are thread-safe. Each method throws a
 * {@link StoreException} when the call did not succeed.
 */
public interface ObjectStore {
    /** Returns the object of the given name, or nothing when there is none. */
    Optional<StoredObject> read(String name);

    /** Creates an object; fails with a conflict when an object of this name exists. */
    StoredObject create(String name, byte[] value);

    /** Replaces an object; fails with a conflict unless it has the given version. */
    StoredObject replace(String name, byte[] value, long version);

    /** Waits until an object has another version than the given one, and returns it, or nothing when the wait times out. */
    Optional<StoredObject> watch(String name, long version, Duration wait);

    /** Returns the list of VMs: at once if its version differs from the given one, else when it changes or the wait times out. */
    MemberList members(long version, Duration wait);

    /** Returns the newest era of the store, which increases each time the store is restored from an older copy. */
    long era();
}
