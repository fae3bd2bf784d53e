package org.quetzalseam.daemon.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Keeps the traces of recent requests, so that an operator can look up why one ended as it did. Thread-safe. */
public final class TraceLog {
    private static final int MAX_REQUESTS = 2_000;
    private static final int MAX_NOTES_PER_REQUEST = 64;

    private final Map<String, Trace> traces = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Trace> eldest) {
            return size() > MAX_REQUESTS;
        }
    };

    /** The trace of one request. Thread-safe. Contains no part of the request itself. */
    public static final class Trace {
        private final long startedNanos = System.nanoTime();
        private final List<String> notes = new ArrayList<>();

        private Trace() {}

        /** Adds a note of something that happened, such as {@code "booked decode-3"}. */
        public synchronized void note(String what) {
            if (notes.size() < MAX_NOTES_PER_REQUEST) {
                notes.add((System.nanoTime() - startedNanos) / 1_000_000 + " ms: " + what);
            }
        }

        private synchronized List<String> notes() {
            return List.copyOf(notes);
        }
    }

    /** Starts the trace of a request. */
    public Trace begin(String requestId) {
        Trace trace = new Trace();
        synchronized (traces) {
            traces.put(requestId, trace);
        }
        return trace;
    }

    /** Returns the notes of a request, or empty if its trace is no longer kept. */
    public Optional<List<String>> notes(String requestId) {
        synchronized (traces) {
            return Optional.ofNullable(traces.get(requestId)).map(Trace::notes);
        }
    }
}
