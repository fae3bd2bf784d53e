package org.quetzalseam.standins;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The decode batch of an engine stand-in: each step produces one output for every started sequence. Thread-safe. */
final class DecodeBatch {
    private static final long NANOS_PER_MICRO = 1_000;

    /** A sequence that holds decode memory. */
    static final class Sequence {
        private final String id;
        private final int outputs;
        private int produced;
        private int consumed;
        private boolean running;
        private boolean cancelled;

        Sequence(String id, int outputs) {
            this.id = id;
            this.outputs = outputs;
        }

        int outputs() {
            return outputs;
        }

        /** Waits for the next output and returns its index, or -1 when the sequence is complete or cancelled. */
        synchronized int awaitNext() {
            while (consumed >= produced && produced < outputs && !cancelled) {
                try {
                    wait();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    cancelled = true;
                }
            }
            return consumed < produced && !cancelled ? consumed++ : -1;
        }

        synchronized boolean isComplete() {
            return consumed >= outputs;
        }

        private synchronized void step() {
            if (running && produced < outputs) {
                produced++;
                notifyAll();
            }
        }

        private synchronized void start() {
            running = true;
        }

        private synchronized void cancel() {
            cancelled = true;
            notifyAll();
        }
    }

    private final EngineCosts costs;
    private final Map<String, Sequence> sequences = new LinkedHashMap<>();
    private int maxHeldSequences;
    private boolean stopped;

    DecodeBatch(EngineCosts costs) {
        this.costs = costs;
        Thread worker = new Thread(this::run, "stand-in-decode");
        worker.setDaemon(true);
        worker.start();
    }

    /** Allocates memory for a sequence. Returns null when no slot is free or the sequence already holds one. */
    synchronized @Nullable Sequence add(String id, int outputs) {
        if (sequences.size() >= costs.slots() || sequences.containsKey(id)) {
            return null;
        }
        Sequence sequence = new Sequence(id, Math.max(1, outputs));
        sequences.put(id, sequence);
        maxHeldSequences = Math.max(maxHeldSequences, sequences.size());
        notifyAll();
        return sequence;
    }

    void start(Sequence sequence) {
        sequence.start();
    }

    synchronized void remove(Sequence sequence) {
        sequences.remove(sequence.id, sequence);
    }

    void cancel(String id) {
        Sequence sequence;
        synchronized (this) {
            sequence = sequences.remove(id);
        }
        if (sequence != null) {
            sequence.cancel();
        }
    }

    synchronized int heldSequences() {
        return sequences.size();
    }

    synchronized int maxHeldSequences() {
        return maxHeldSequences;
    }

    private void run() {
        int size = awaitWork();
        while (size > 0) {
            Pause.nanos((costs.stepMicros() + costs.stepMicrosPerSequence() * size) * NANOS_PER_MICRO);
            Map<String, Sequence> now;
            synchronized (this) {
                now = Map.copyOf(sequences);
            }
            now.values().forEach(Sequence::step);
            size = awaitWork();
        }
    }

    private synchronized int awaitWork() {
        while (sequences.isEmpty() && !stopped) {
            try {
                wait();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return 0;
            }
        }
        return stopped ? 0 : sequences.size();
    }

    void stop() {
        Map<String, Sequence> left;
        synchronized (this) {
            stopped = true;
            left = Map.copyOf(sequences);
            notifyAll();
        }
        left.values().forEach(Sequence::cancel);
    }
}
