package org.quetzalseam.gateway.log;

import java.time.Instant;
import java.util.logging.LogRecord;

/** One line of key=value pairs for a log record. Stateless. */
final class LogLine {
    private LogLine() {}

    static void append(StringBuilder text, LogRecord line) {
        text.append("time=").append(Instant.ofEpochMilli(line.getMillis()));
        text.append(" level=").append(line.getLevel().getName());
        text.append(' ').append(line.getMessage().replace('\n', ' '));
        Throwable thrown = line.getThrown();
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
