package org.quetzalseam.core.limits;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Consumer;

/** The other entries, as one of them asks for permits. */
public interface PermitPeers {
    /** Returns the names of the other entries that can be asked. */
    Collection<String> names();

    /** Returns whether an entry is worth asking: it has not failed to answer just now. */
    boolean usable(String peer);

    /** Returns for how long an entry has not answered, in nanoseconds; 0 if it has answered last time. */
    long unreachableNanos(String peer);

    /** Asks an entry; {@code answered} receives its answer, or empty if there is none in time. */
    void ask(String peer, PermitAsk ask, Consumer<Optional<PermitAnswer>> answered);
}
