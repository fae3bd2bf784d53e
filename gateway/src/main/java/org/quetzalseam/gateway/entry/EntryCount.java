package org.quetzalseam.gateway.entry;

/**
 * The number of entries of a site as counted by one of them, and the rank of that one. Immutable.
 *
 * @param entries number of entries, at least one
 * @param rank position of this entry's name in the sorted names, from 0; entries that read the same names agree on the order
 */
public record EntryCount(int entries, int rank) {
    /** The count of an entry that is alone, assumed before the first count. */
    public static final EntryCount ALONE = new EntryCount(1, 0);
}
