package org.quetzalseam.gateway.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sends the process's log to standard output. Stateless. */
public final class LogSetup {
    private static final Logger OURS = Logger.getLogger("org.quetzalseam");

    private LogSetup() {}

    /** Logs events of the given level and above. Returns the handler, which is closed when the process ends. */
    public static Handler toStandardOutput(Level level) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Handler handler = new AsyncLogHandler(new FileOutputStream(FileDescriptor.out));
        handler.setLevel(level);
        root.addHandler(handler);
        root.setLevel(Level.WARNING);
        OURS.setLevel(level);
        return handler;
    }
}
