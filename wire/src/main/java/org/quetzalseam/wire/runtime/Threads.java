package org.quetzalseam.wire.runtime;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/** Creates named daemon threads, which do not keep the process alive. Stateless. */
public final class Threads {
    private Threads() {}

    /** Returns a factory of daemon threads named {@code name-1}, {@code name-2} and so on. */
    public static ThreadFactory named(String name) {
        AtomicInteger number = new AtomicInteger();
        return task -> daemon(name + "-" + number.incrementAndGet(), task);
    }

    /** Returns a daemon thread that has not been started. */
    public static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }
}
