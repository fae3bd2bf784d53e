package org.quetzalseam.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.store.UnreadableException;

class ObjectFaultsTest {
    private static final Logger LOG = Logger.getLogger(ObjectFaults.class.getName());

    private final ObjectFaults faults = new ObjectFaults("things");
    private final List<String> lines = new ArrayList<>();
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord line) {
            lines.add(line.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @BeforeEach
    void listen() {
        LOG.addHandler(handler);
    }

    @AfterEach
    void stopListening() {
        LOG.removeHandler(handler);
    }

    private void unreadable(String name, String where, String found) {
        faults.unreadable(name, new UnreadableException(UnreadableException.Code.WRONG_TYPE, where, "a text", found));
    }

    @Test
    void aFaultIsLoggedOnceHoweverItsValueChanges() {
        for (int i = 0; i < 5; i++) {
            unreadable("a", "thing a.zone", Integer.toString(i));
        }
        assertThat(lines)
                .containsExactly(
                        "event=object-unreadable kind=things name=a code=WRONG_TYPE cause=\"thing a.zone: expected a text, got 0\"");
    }

    @Test
    void anotherFaultOrAnotherObjectIsLoggedToo() {
        unreadable("a", "zone", "1");
        unreadable("a", "state", "1");
        unreadable("b", "zone", "1");
        assertThat(lines).hasSize(3);
    }

    @Test
    void aFaultIsLoggedAgainAfterTheObjectWasReadableOrDeleted() {
        unreadable("a", "zone", "1");
        faults.readable("a");
        faults.readable("a");
        unreadable("a", "zone", "1");
        faults.deleted("a");
        unreadable("a", "zone", "1");
        assertThat(lines).hasSize(4);
        assertThat(lines.get(1)).isEqualTo("event=object-readable kind=things name=a");
    }

    @Test
    void aLogMessageIsBoundedAndStaysOneLine() {
        unreadable("n\n\"x".repeat(1_000), "where\r".repeat(1_000), "\u0000\"".repeat(100_000));
        assertThat(lines.get(0)).hasSizeLessThan(400).doesNotContain("\n").doesNotContain("\r");
    }
}
