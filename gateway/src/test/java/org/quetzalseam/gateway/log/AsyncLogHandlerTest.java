package org.quetzalseam.gateway.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class AsyncLogHandlerTest {
    private static final int MANY = 10_000;
    private static final int FEW = 1_000;
    /** The bound of the queue. */
    private static final int MAX_QUEUED_CHARACTERS = 4 * 1024 * 1024;
    /** About as long as a header section may be, in characters. */
    private static final int LONG_LINE = 16 * 1024;

    /** An output that blocks every write until it is unblocked. */
    private static final class BlockedOutput extends OutputStream {
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();
        private final CountDownLatch unblocked = new CountDownLatch(1);

        @Override
        public void write(int single) {
            write(new byte[] {(byte) single}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int from, int length) {
            try {
                unblocked.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            synchronized (written) {
                written.write(bytes, from, length);
            }
        }

        String text() {
            synchronized (written) {
                return written.toString(StandardCharsets.UTF_8);
            }
        }
    }

    private final BlockedOutput output = new BlockedOutput();
    private final AsyncLogHandler handler = new AsyncLogHandler(output);

    private void awaitText(String text) throws InterruptedException {
        for (int i = 0; i < 500 && !output.text().contains(text); i++) {
            Thread.sleep(20);
        }
        assertThat(output.text()).contains(text);
    }

    @Test
    void loggingNeverBlocksWhileTheOutputIsBlocked() throws InterruptedException {
        for (int i = 0; i < MANY; i++) {
            handler.publish(new LogRecord(Level.INFO, "event=usual number=" + i));
        }
        output.unblocked.countDown();
        awaitText("event=log-lines-left-out");
        handler.close();
    }

    @Test
    void warningsAreQueuedWhenInfoLinesAreDropped() throws InterruptedException {
        for (int i = 0; i < MANY; i++) {
            handler.publish(new LogRecord(Level.INFO, "event=usual number=" + i));
        }
        handler.publish(new LogRecord(Level.WARNING, "event=unusual"));
        output.unblocked.countDown();
        awaitText("event=unusual");
        assertThat(output.text()).doesNotContain("number=" + (MANY - 1));
        handler.close();
    }

    // Guards against lines that hold long texts of callers filling the memory, though there are few of them.
    @Test
    void longLinesAreDroppedBeforeTheyFillTheMemory() throws InterruptedException {
        String text = "x".repeat(LONG_LINE);
        handler.publish(new LogRecord(Level.INFO, "event=first"));
        for (int i = 0; i < FEW; i++) {
            handler.publish(new LogRecord(Level.INFO, "event=long text=" + text));
        }
        handler.publish(new LogRecord(Level.WARNING, "event=unusual"));
        output.unblocked.countDown();
        awaitText("event=unusual");
        handler.close();
        // At most one batch is being written while another one is queued.
        assertThat(output.text()).contains("event=log-lines-left-out").hasSizeLessThan(2 * MAX_QUEUED_CHARACTERS);
    }

    /** A line that cannot be formatted because the heap is full. */
    private static final class UnwritableRecord extends LogRecord {
        private static final long serialVersionUID = 1L;

        UnwritableRecord() {
            super(Level.INFO, "event=unwritable");
        }

        @Override
        public Throwable getThrown() {
            throw new OutOfMemoryError("the test's heap");
        }
    }

    // Guards against the log ending for good when the heap was full while a batch was written.
    @Test
    void aBatchThatCannotBeWrittenDoesNotEndTheLog() throws InterruptedException {
        output.unblocked.countDown();
        handler.publish(new UnwritableRecord());
        handler.publish(new LogRecord(Level.INFO, "event=later"));
        awaitText("event=later");
        awaitText("event=log-lines-left-out count=1");
        handler.close();
    }
}
