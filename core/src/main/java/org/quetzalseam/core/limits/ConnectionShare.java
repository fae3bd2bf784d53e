package org.quetzalseam.core.limits;

/**
 * Computes how many connections one entry may have open to an endpoint that accepts a fixed number from all entries
 * together. Stateless.
 *
 * <p>An endpoint resets connections beyond that number, and with them the requests that opened them. Entries do not
 * tell each other how many connections they have open, so each keeps to an equal share.
 */
public final class ConnectionShare {
    /**
     * Share of the endpoint's connections that is divided: the rest is for entries that have started but are not
     * counted yet.
     */
    private static final double USABLE_SHARE = 0.8;
    /** Minimum number of connections of an entry: one for a request, and one for a call that runs nothing. */
    private static final int MIN_CONNECTIONS = 2;

    private ConnectionShare() {}

    /**
     * Returns the maximum number of connections that one entry may have open to one endpoint.
     *
     * @param all number of connections that the endpoint accepts from all entries together
     * @param entries number of entries; 0 if it is not known yet
     */
    public static int of(int all, int entries) {
        int sharing = entries > 0 ? entries : RetryAllowance.ASSUMED_ENTRIES;
        return Math.max(MIN_CONNECTIONS, (int) (all * USABLE_SHARE / sharing));
    }
}
