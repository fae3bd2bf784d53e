package org.quetzalseam.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** How many files and sockets this process may have open. Stateless. */
public final class Descriptors {
    /** What is assumed where the system does not tell: a common default for processes. */
    private static final int ASSUMED = 1024;

    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final String LINE = "Max open files";

    private Descriptors() {}

    /** Returns the limit that the system has set. */
    public static int limit() {
        try (Stream<String> lines = Files.lines(LIMITS)) {
            return lines.filter(line -> line.startsWith(LINE))
                    .map(line -> line.substring(LINE.length()).strip().split(" ", 2)[0])
                    .mapToInt(Descriptors::number)
                    .findFirst()
                    .orElse(ASSUMED);
        } catch (IOException e) {
            return ASSUMED;
        }
    }

    private static int number(String text) {
        try {
            return (int) Math.min(Integer.MAX_VALUE, Long.parseLong(text));
        } catch (NumberFormatException unlimited) {
            return Integer.MAX_VALUE;
        }
    }
}
