package org.quetzalseam.gateway.route;

/** When the events of one stream came, for the log. Not thread-safe. */
final class StreamPace {
    private int pieces;
    private long firstMillis = -1;
    private long lastMillis;
    private long longestPauseMillis;

    /** Notes events that came when the request was so old. */
    void record(long ageMillis) {
        if (pieces == 0) {
            firstMillis = ageMillis;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, ageMillis - lastMillis);
        }
        pieces++;
        lastMillis = ageMillis;
    }

    int pieces() {
        return pieces;
    }

    /** Returns the request's age at its first event, or -1 before that. */
    long firstMillis() {
        return firstMillis;
    }

    long longestPauseMillis() {
        return longestPauseMillis;
    }
}
