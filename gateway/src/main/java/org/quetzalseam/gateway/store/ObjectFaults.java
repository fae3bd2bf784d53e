package org.quetzalseam.gateway.store;

import com.google.common.flogger.FluentLogger;
import java.util.LinkedHashMap;
import java.util.Map;
import org.quetzalseam.core.store.UnreadableException;

/**
 * Logs which objects of a kind cannot be read, and why: once for each fault of an object, however often it is read again, until
 * the object becomes readable or is deleted. Not thread-safe.
 */
public final class ObjectFaults {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /**
     * Most objects whose faults are remembered, so that a writer that keeps creating new names cannot fill the memory. Beyond that
     * the oldest is forgotten, and logged again if it is read again. Twice the registrations of a large site.
     */
    private static final int MAX_REMEMBERED = 2_000;

    private final String kind;
    private final Map<String, String> faults = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };

    /** Creates a record without faults for a kind of objects. */
    public ObjectFaults(String kind) {
        this.kind = kind;
    }

    /** Records that an object cannot be read, and logs a fault that is not known yet. */
    public void unreadable(String name, UnreadableException cause) {
        String key = UnreadableException.printable(name);
        if (!cause.fault().equals(faults.put(key, cause.fault()))) {
            logger.atWarning().log(
                    "event=object-unreadable kind=%s name=%s code=%s cause=\"%s\"",
                    kind, key, cause.code(), cause.description());
        }
    }

    /** Records that an object could be read, and logs it where a fault was known. */
    public void readable(String name) {
        if (!faults.isEmpty() && faults.remove(UnreadableException.printable(name)) != null) {
            logger.atInfo().log("event=object-readable kind=%s name=%s", kind, name);
        }
    }

    /** Records that an object was deleted. */
    public void deleted(String name) {
        faults.remove(UnreadableException.printable(name));
    }
}
