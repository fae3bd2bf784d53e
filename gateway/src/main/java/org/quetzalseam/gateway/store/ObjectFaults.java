package org.quetzalseam.gateway.store;

import com.google.common.flogger.FluentLogger;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tells operators which objects of a kind can't be read and why: once for each fault of an object, however often it is read
 * again, until the object is sound or gone. Not thread-safe.
 */
public final class ObjectFaults {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /**
     * Objects whose faults are remembered, so that a writer of ever new names fills no memory; past that the oldest is
     * forgotten, and logged again if it is read again. Twice the registrations of a large site.
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

    /** Notes that an object can't be read. */
    public void unreadable(String name, UnreadableException cause) {
        String key = UnreadableException.printable(name);
        if (!cause.fault().equals(faults.put(key, cause.fault()))) {
            logger.atWarning().log(
                    "event=object-unreadable kind=%s name=%s code=%s cause=\"%s\"",
                    kind, key, cause.code(), cause.description());
        }
    }

    /** Notes that an object could be read. */
    public void readable(String name) {
        if (!faults.isEmpty() && faults.remove(UnreadableException.printable(name)) != null) {
            logger.atInfo().log("event=object-readable kind=%s name=%s", kind, name);
        }
    }

    /** Notes that an object is gone. */
    public void deleted(String name) {
        faults.remove(UnreadableException.printable(name));
    }
}
