package org.quetzalseam.daemon;

import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Configures logging: one line of {@code key=value} pairs for each event, on standard error. Stateless. */
public final class LogSetup {
    private static final String ROOT = "org.quetzalseam";
    private static final Logger LOGGER = Logger.getLogger(ROOT);

    private LogSetup() {}

    /** Writes all log events of the given level and above to standard error. */
    public static void toStandardError(Level level) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Handler handler = new ConsoleHandler();
        handler.setLevel(level);
        handler.setFormatter(new LineFormatter());
        root.addHandler(handler);
        root.setLevel(Level.WARNING);
        LOGGER.setLevel(level);
    }

    private static final class LineFormatter extends Formatter {
        @Override
        public String format(LogRecord event) {
            StringBuilder line = new StringBuilder("time=").append(Instant.ofEpochMilli(event.getMillis()));
            line.append(" level=").append(event.getLevel().getName());
            line.append(' ').append(formatMessage(event).replace('\n', ' '));
            Throwable thrown = event.getThrown();
            if (thrown != null) {
                line.append(" error=\"")
                        .append(thrown.toString().replace('\n', ' '))
                        .append('"');
                StackTraceElement[] trace = thrown.getStackTrace();
                line.append(" at=")
                        .append(trace.length == 0 ? "" : trace[0].toString().replace(' ', '_'));
            }
            return line.append('\n').toString();
        }
    }
}
