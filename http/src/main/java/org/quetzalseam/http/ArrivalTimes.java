package org.quetzalseam.http;

import java.util.ArrayDeque;
import java.util.Deque;

/** When the bytes of a connection arrived that wait to be decoded. Not thread-safe. Times are monotonic nanoseconds. */
final class ArrivalTimes {
    /** Most times that are kept; beyond it, bytes count as having arrived with earlier ones. */
    static final int MOST_TIMES = 32;

    private final Deque<Part> parts = new ArrayDeque<>();

    /**
     * Bytes that arrived together.
     *
     * @param end number of bytes of the connection up to their end
     * @param time when they arrived
     */
    private record Part(long end, long time) {}

    /** Records that bytes have arrived, up to the given number of bytes of the connection. */
    void add(long end, long time) {
        Part last = parts.peekLast();
        if (last != null && last.end() >= end) {
            return;
        }
        if (last != null && parts.size() == MOST_TIMES) {
            parts.removeLast();
            parts.addLast(new Part(end, last.time()));
        } else {
            parts.addLast(new Part(end, time));
        }
    }

    /** Returns when the byte at the given position arrived, and forgets what arrived before it; {@code now} if it has only just arrived. */
    long at(long position, long now) {
        Part first = parts.peekFirst();
        while (first != null && first.end() < position) {
            parts.removeFirst();
            first = parts.peekFirst();
        }
        return first == null ? now : first.time();
    }
}
