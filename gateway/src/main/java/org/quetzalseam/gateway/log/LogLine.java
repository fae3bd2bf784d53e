package org.quetzalseam.gateway.log;

import java.time.Instant;
import java.util.logging.LogRecord;

/** Formats a log record as a line of key=value pairs. Stateless. */
final class LogLine {
    private LogLine() {}

    /** Appends the record's line, with a stack trace of at most 4 frames if it has an exception. */
    static void append(StringBuilder text, LogRecord record) {
        text.append("time=").append(Instant.ofEpochMilli(record.getMillis()));
        text.append(" level=").append(record.getLevel().getName());
        text.append(' ').append(record.getMessage().replace('\n', ' '));
        Throwable thrown = record.getThrown();
        if (thrown != null) {
            text.append(" error=\"")
                    .append(thrown.toString().replace('\n', ' '))
                    .append('"');
            StackTraceElement[] trace = thrown.getStackTrace();
            for (int i = 0; i < Math.min(4, trace.length); i++) {
                text.append(" at=").append(trace[i].toString().replace(' ', '_'));
            }
        }
        text.append('\n');
    }
}
