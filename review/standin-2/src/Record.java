import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run of a case: what was sent, answered and run, with the time since the start. */
final class Record {
    /** A script may run for 120 seconds. */
    private static final long MOST_MILLIS = 112_000;

    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
        Runtime.getRuntime().addShutdownHook(new Thread(Entry::killAll));
        Threads.start("limit", () -> {
            Thread.sleep(MOST_MILLIS);
            end(2, "CAN'T RUN: not at the end after " + MOST_MILLIS + " ms");
        });
    }

    long millis() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        out.printf("%8.3f %s%n", millis() / 1e3, String.format(format, values));
    }

    /** Writes the result, also to standard output, and ends this process with its status. */
    synchronized void end(int status, String result) {
        Entry.killAll();
        line("%s", result);
        out.close();
        System.out.println(result);
        Runtime.getRuntime().halt(status);
    }
}
