package org.quetzalseam.cli.site;

import java.util.random.RandomGenerator;

/**
 * A range of integers, with both bounds included. Immutable.
 *
 * @param low the lower bound
 * @param high the upper bound
 */
public record Range(int low, int high) {
    /** Checks that the range is not empty and not negative. */
    public Range {
        if (low < 0 || high < low) {
            throw new IllegalArgumentException("range: expected 0 <= low <= high, got " + low + "-" + high);
        }
    }

    /** Parses a range such as {@code 40-400}, or a single number. */
    static Range parse(String text) {
        String[] ends = text.split("-", 2);
        int low = Integer.parseInt(ends[0].strip());
        return new Range(low, ends.length == 1 ? low : Integer.parseInt(ends[1].strip()));
    }

    /** Returns a uniformly distributed random number of the range. */
    public int draw(RandomGenerator random) {
        return random.nextInt(low, high + 1);
    }
}
