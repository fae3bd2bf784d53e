package org.quetzalseam.gateway.route;

/** Measures when the events of one stream arrived. Not thread-safe. */
final class StreamPace {
    private int pieces;
    private long firstMillis = -1;
    private long lastMillis;
    private long longestPauseMillis;

    /** Records events that arrived at the given age of the request, in milliseconds. */
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

    /** Returns the age of the request at its first event, in milliseconds; -1 before that. */
    long firstMillis() {
        return firstMillis;
    }

    long longestPauseMillis() {
        return longestPauseMillis;
    }
}
