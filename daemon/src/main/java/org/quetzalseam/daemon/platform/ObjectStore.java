package org.quetzalseam.daemon.platform;

import java.time.Duration;
import java.util.Optional;

/**
 * The platform's object store and its list of VMs. Implementations are thread-safe. Each method throws a
 * {@link StoreException} when the call did not succeed.
 */
public interface ObjectStore {
    /** Returns an object, or nothing when there is none of this name. */
    Optional<StoredObject> read(String name);

    /** Creates an object; conflicts when there is one of this name. */
    StoredObject create(String name, byte[] value);

    /** Replaces an object; conflicts unless its version is the given one. */
    StoredObject replace(String name, byte[] value, long version);

    /** Waits until an object has another version than the given one, and returns it, or nothing when the wait is over. */
    Optional<StoredObject> watch(String name, long version, Duration wait);

    /** Returns the list of VMs, at once if its version isn't the given one, else when it changes or the wait is over. */
    MemberList members(long version, Duration wait);

    /** Returns the era of the newest answer: it rises each time the store comes back from an older copy. */
    long era();
}
