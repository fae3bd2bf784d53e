package org.quetzalseam.gateway.entry;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;

/**
 * The entries of a site as listed by one of them. Immutable.
 *
 * @param entries number of entries, this one included
 * @param peers addresses at which the other entries answer this one, by their names; entries that state none are missing
 * @param holders names of the other entries that understand questions to holders of units
 * @param intervalMillis time until the next list, in milliseconds
 * @param askedAt when the list was requested, in nanoseconds of {@link org.quetzalseam.gateway.runtime.Timers#elapsed}
 */
public record EntryList(
        int entries, Map<String, InetSocketAddress> peers, Set<String> holders, long intervalMillis, long askedAt) {
    /** Copies the collections. */
    public EntryList {
        peers = Map.copyOf(peers);
        holders = Set.copyOf(holders);
    }

    /** Creates a list of entries none of which understands questions to holders of units. */
    public EntryList(int entries, Map<String, InetSocketAddress> peers, long intervalMillis, long askedAt) {
        this(entries, peers, Set.of(), intervalMillis, askedAt);
    }
}
