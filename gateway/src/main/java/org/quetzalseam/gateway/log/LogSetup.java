package org.quetzalseam.gateway.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sends the process's log to standard output. Stateless. */
public final class LogSetup {
    private static final Logger PROJECT_LOGGER = Logger.getLogger("org.quetzalseam");

    /** How much is logged. */
    public enum Detail {
        /** Each decision that touches a request, and all below. */
        INFO,
        /** Only what an operator should look at. */
        WARNING
    }

    private LogSetup() {}

    /** Logs everything until told otherwise. Returns the handler, which is closed when the process ends. */
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

    /** Sets how much is logged from now on. */
    public static void detail(Detail detail) {
        PROJECT_LOGGER.setLevel(detail == Detail.INFO ? Level.INFO : Level.WARNING);
    }
}
