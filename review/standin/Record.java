import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start of the case. */
final class Record {
    private static final long START = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }

    synchronized void add(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%8.3f s  ", seconds()) + String.format(Locale.ROOT, format, values);
        out.println(line);
        System.out.println(line);
    }
}
