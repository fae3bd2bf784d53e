package org.quetzalseam.core.limits;

/**
 * How many connections one entry may have open to an endpoint that takes a fixed number from all entries together. Stateless.
 *
 * <p>An endpoint resets what is opened beyond its number, and with it the request that opened it. Entries don't tell each
 * other what they have open, so each keeps to an even part.
 */
public final class ConnectionShare {
    /** Part of the endpoint's connections that is shared out: the rest is for entries that have started but aren't counted yet. */
    private static final double USABLE_SHARE = 0.8;
    /** Fewest connections of an entry: one for a request, and one for a call that runs nothing. */
    private static final int MIN_CONNECTIONS = 2;

    private ConnectionShare() {}

    /**
     * Returns the most connections that one entry may have open to one endpoint.
     *
     * @param all connections that the endpoint takes from all entries together
     * @param entries how many entries there are; 0 if that isn't known yet
     */
    public static int of(int all, int entries) {
        int sharing = entries > 0 ? entries : RetryAllowance.ASSUMED_ENTRIES;
        return Math.max(MIN_CONNECTIONS, (int) (all * USABLE_SHARE / sharing));
    }
}
