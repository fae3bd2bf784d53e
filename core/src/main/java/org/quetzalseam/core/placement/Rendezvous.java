package org.quetzalseam.core.placement;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/** Rendezvous hashing: all processes that know the same names assign a key to the same name. Stateless. */
public final class Rendezvous {
    private static final int SEED = 0x5eed;

    private Rendezvous() {}

    /** Returns a 64-bit hash of a text, for use as a key. */
    public static long hash(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, SEED)[0];
    }

    /** Returns the weight of a name for a key. The key is assigned to the name with the highest weight, unsigned. */
    public static long weight(String name, long key) {
        byte[] bytes = (name + '#' + Long.toHexString(key)).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, SEED)[0];
    }

    /** Returns the index of the name that the key is assigned to. The list must not be empty. */
    public static int top(List<String> names, long key) {
        if (names.isEmpty()) {
            throw new IllegalArgumentException("names: expected at least one");
        }
        int best = 0;
        for (int i = 1; i < names.size(); i++) {
            if (Long.compareUnsigned(weight(names.get(i), key), weight(names.get(best), key)) > 0) {
                best = i;
            }
        }
        return best;
    }

    /**
     * Returns up to {@code count} names by descending weight for the key. The subset changes little when names change.
     */
    public static List<String> subset(List<String> names, long key, int count) {
        List<String> ranked = new ArrayList<>(names);
        ranked.sort(Comparator.comparingLong((String name) -> weight(name, key) ^ Long.MIN_VALUE)
                .reversed());
        return List.copyOf(ranked.subList(0, Math.min(count, ranked.size())));
    }
}
