package org.quetzalseam.gateway.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a thread of its own, so that no request waits for the log. Thread-safe.
 *
 * <p>The queue is bounded. When it is half full, lines below {@link Level#WARNING} are dropped and counted; when it is full, all
 * lines are. The count is written with the next batch of lines.
 */
public final class AsyncLogHandler extends Handler {
    /** Maximum number of queued lines: about ten seconds of a busy entry. */
    private static final int MAX_QUEUED_LINES = 4_096;
    /** How long lines are collected before they are written together, in milliseconds. */
    private static final long BATCH_MILLIS = 100;

    private final OutputStream out;
    private final Deque<LogRecord> queue = new ArrayDeque<>();
    private final Thread writer;
    private long droppedLines;
    private boolean closing;

    /** Creates a handler that writes to the stream. */
    public AsyncLogHandler(OutputStream out) {
        this.out = out;
        this.writer = new Thread(this::writeBatches, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public synchronized void publish(LogRecord record) {
        boolean urgent = record.getLevel().intValue() >= Level.WARNING.intValue();
        int capacity = urgent ? MAX_QUEUED_LINES : MAX_QUEUED_LINES / 2;
        if (queue.size() >= capacity) {
            droppedLines++;
            return;
        }
        queue.addLast(record);
        if (queue.size() == 1) {
            notifyAll();
        }
    }

    private void writeBatches() {
        StringBuilder text = new StringBuilder();
        try {
            while (true) {
                text.setLength(0);
                if (!awaitBatch(text)) {
                    return;
                }
                out.write(text.toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
                Thread.sleep(BATCH_MILLIS);
            }
        } catch (IOException | InterruptedException expected) {
            // Nothing reads the log any more, or the process ends, so the fault cannot be reported.
        }
    }

    private synchronized boolean awaitBatch(StringBuilder text) throws InterruptedException {
        while (queue.isEmpty() && !closing) {
            wait();
        }
        if (droppedLines > 0) {
            text.append("event=log-lines-left-out count=").append(droppedLines).append('\n');
            droppedLines = 0;
        }
        for (LogRecord record = queue.pollFirst(); record != null; record = queue.pollFirst()) {
            LogLine.append(text, record);
        }
        notifyAll();
        return !closing || text.length() > 0;
    }

    @Override
    public void flush() {
        // The writer thread writes queued lines within the batch interval; close() waits for them.
    }

    @Override
    public void close() {
        synchronized (this) {
            closing = true;
            notifyAll();
        }
        try {
            writer.join(2 * BATCH_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
