package org.quetzalseam.gateway.entry;

/**
 * The entries of a site as one of them counts them. Immutable.
 *
 * @param entries how many there are, at least one
 * @param rank place of this entry's name among theirs, from 0: the same order at every entry that has read the same names
 */
public record EntryCount(int entries, int rank) {
    /** What an entry assumes that hasn't counted yet: it is alone. */
    public static final EntryCount ALONE = new EntryCount(1, 0);
}
