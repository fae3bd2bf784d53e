package org.quetzalseam.gateway.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Configures the process's log, which goes to standard output. Stateless. */
public final class LogSetup {
    private static final Logger PROJECT_LOGGER = Logger.getLogger("org.quetzalseam");

    /** The level of detail of the log. */
    public enum Detail {
        /** Every decision that affects a request, and all that {@link #WARNING} includes. */
        INFO,
        /** Only what needs an operator's attention. */
        WARNING
    }

    private LogSetup() {}

    /** Sends the log to standard output, at first with full detail. Returns the handler, to be closed when the process ends. */
    public static Handler toStandardOutput() {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Handler handler = new AsyncLogHandler(new FileOutputStream(FileDescriptor.out));
        handler.setLevel(Level.INFO);
        root.addHandler(handler);
        root.setLevel(Level.WARNING);
        PROJECT_LOGGER.setLevel(Level.INFO);
        return handler;
    }

    /** Sets the level of detail from now on. */
    public static void detail(Detail detail) {
        PROJECT_LOGGER.setLevel(detail == Detail.INFO ? Level.INFO : Level.WARNING);
    }
}
