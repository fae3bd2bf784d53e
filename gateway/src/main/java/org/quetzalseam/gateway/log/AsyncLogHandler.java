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
 * <p>The queue is bounded in lines and in characters, because lines hold what callers send. When it is half full, lines below
 * {@link Level#WARNING} are dropped and counted; when it is full, all lines are. The count is written with the next batch of lines.
 */
public final class AsyncLogHandler extends Handler {
    /** Maximum number of queued lines: about ten seconds of a busy entry. */
    private static final int MAX_QUEUED_LINES = 4_096;
    /** In a small heap, what is queued takes one in so many parts of it at most; a batch takes several times its characters. */
    private static final int LEAST_HEAP_SHARE = 24;

    /** Maximum length of all queued lines, in characters: on average twice the length of the longest usual line. */
    private static final long MAX_QUEUED_CHARACTERS =
            Math.min(4L * 1024 * 1024, Runtime.getRuntime().maxMemory() / LEAST_HEAP_SHARE);
    /** How long lines are collected before they are written together, in milliseconds. */
    private static final long BATCH_MILLIS = 100;

    /** Length up to which the memory of a batch is kept for the next one, in characters. */
    private static final int MAX_KEPT_CHARACTERS = 64 * 1024;

    private final OutputStream out;
    private final Deque<LogRecord> queue = new ArrayDeque<>();
    private final Thread writer;
    private long queuedCharacters;
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
        int divisor = urgent ? 1 : 2;
        long characters = queuedCharacters + record.getMessage().length();
        if (queue.size() >= MAX_QUEUED_LINES / divisor || characters > MAX_QUEUED_CHARACTERS / divisor) {
            droppedLines++;
            return;
        }
        queuedCharacters = characters;
        queue.addLast(record);
        if (queue.size() == 1) {
            notifyAll();
        }
    }

    private void writeBatches() {
        StringBuilder text = new StringBuilder();
        try {
            while (writeBatch(text)) {
                Thread.sleep(BATCH_MILLIS);
                text.setLength(0);
                if (text.capacity() > MAX_KEPT_CHARACTERS) {
                    text.trimToSize();
                }
            }
        } catch (IOException | InterruptedException expected) {
            // Nothing reads the log any more, or the process ends, so the fault cannot be reported.
        }
    }

    /** Writes what is queued. Returns false after the last batch. A batch that cannot be written, as when the heap is full, is left out. */
    private boolean writeBatch(StringBuilder text) throws IOException, InterruptedException {
        try {
            if (!awaitBatch(text)) {
                return false;
            }
            out.write(text.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (RuntimeException | OutOfMemoryError e) {
            synchronized (this) {
                droppedLines++;
            }
        }
        return true;
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
        queuedCharacters = 0;
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
