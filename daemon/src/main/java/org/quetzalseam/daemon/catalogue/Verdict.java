package org.quetzalseam.daemon.catalogue;

import java.util.List;

/**
 * The refusal of a proposal. Immutable.
 *
 * @param version version that the proposal would have had
 * @param writer the proposal's writer number, a random number that identifies the proposal
 * @param problems reasons for the refusal
 */
public record Verdict(long version, long writer, List<String> problems) {
    /** Copies the list. */
    public Verdict {
        problems = List.copyOf(problems);
    }

    /** Returns the verdict that stands for no refusal so far. */
    public static Verdict none() {
        return new Verdict(0, 0, List.of());
    }
}
