package org.quetzalseam.core.limits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.quetzalseam.core.placement.Rendezvous;

/**
 * Determines which entry decides on requests to an endpoint that states a limit. All entries that know the same names agree on the
 * order in which entries are asked; the first that can be reached decides. Stateless.
 *
 * <p>An entry that decides because others can't be reached from it uses only a part of the limit at first: one of these may still
 * decide for entries that do reach it, and both together must not exceed what the endpoint bears.
 */
public final class PermitIssuers {
    /** Number of entries that may decide for one endpoint. */
    public static final int CANDIDATES = 4;
    /** Part of the limit that an entry uses in place of another one that may still decide. */
    public static final double SUBSTITUTE_SHARE = 0.5;
    /** Time for which an entry must be unreachable until it is certain that it decides no more, in nanoseconds. */
    public static final long CERTAIN_NANOS = TimeUnit.SECONDS.toNanos(15);

    private PermitIssuers() {}

    /**
     * Returns the entries to ask about an endpoint, in order.
     *
     * @param others names of the other entries that can be asked
     * @param self name of this entry
     * @param selfDecides whether other entries may ask this one
     * @param endpoint id of the endpoint
     */
    public static List<String> order(Collection<String> others, String self, boolean selfDecides, String endpoint) {
        List<String> names = new ArrayList<>(others);
        if (selfDecides) {
            names.add(self);
        }
        return Rendezvous.subset(names, Rendezvous.hash(endpoint), CANDIDATES);
    }

    /**
     * Returns the part of the limit that an entry uses when it decides.
     *
     * @param unreachableNanos for how long each entry before it in the order has been unreachable
     */
    public static double share(Collection<Long> unreachableNanos) {
        return unreachableNanos.stream().allMatch(nanos -> nanos >= CERTAIN_NANOS) ? 1 : SUBSTITUTE_SHARE;
    }
}
