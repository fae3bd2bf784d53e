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

    /** A reader of the log that takes nothing until it is let. */
    private static final class SlowReader extends OutputStream {
        private final ByteArrayOutputStream taken = new ByteArrayOutputStream();
        private final CountDownLatch reads = new CountDownLatch(1);

        @Override
        public void write(int single) {
            write(new byte[] {(byte) single}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int from, int length) {
            try {
                reads.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            synchronized (taken) {
                taken.write(bytes, from, length);
            }
        }

        String text() {
            synchronized (taken) {
                return taken.toString(StandardCharsets.UTF_8);
            }
        }
    }

    private final SlowReader reader = new SlowReader();
    private final AsyncLogHandler handler = new AsyncLogHandler(reader);

    private void awaitText(String text) throws InterruptedException {
        for (int i = 0; i < 500 && !reader.text().contains(text); i++) {
            Thread.sleep(20);
        }
        assertThat(reader.text()).contains(text);
    }

    @Test
    void whoLogsNeverWaitsForAReaderThatHasStopped() throws InterruptedException {
        for (int i = 0; i < MANY; i++) {
            handler.publish(new LogRecord(Level.INFO, "event=usual number=" + i));
        }
        reader.reads.countDown();
        awaitText("event=log-lines-left-out");
        handler.close();
    }

    @Test
    void warningsHaveRoomWhenUsualLinesAreLeftOut() throws InterruptedException {
        for (int i = 0; i < MANY; i++) {
            handler.publish(new LogRecord(Level.INFO, "event=usual number=" + i));
        }
        handler.publish(new LogRecord(Level.WARNING, "event=unusual"));
        reader.reads.countDown();
        awaitText("event=unusual");
        assertThat(reader.text()).doesNotContain("number=" + (MANY - 1));
        handler.close();
    }
}
