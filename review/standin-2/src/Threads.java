import java.io.IOException;

/** Starts daemon threads whose end by a lost connection is normal. */
final class Threads {
    private Threads() {}

    /** A task that may lose its connection. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException e) {
                        // The other side has closed its connection.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
