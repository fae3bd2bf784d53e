package org.quetzalseam.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What a process uses of its VM, as Linux tells it, and how to start one that may use less. Stateless. */
public final class ProcessUsage {
    private static final String PEAK_MEMORY = "VmHWM:";
    private static final long KILOBYTES_PER_MEGABYTE = 1024;
    private static final long STEADY_MILLIS = 500;
    private static final long READING_MILLIS = 10;

    private ProcessUsage() {}

    /** Returns a command that runs another one in a process that may open so many descriptors; signals reach that one. */
    public static List<String> withDescriptors(int most, List<String> command) {
        List<String> limited = new ArrayList<>(List.of("sh", "-c", "ulimit -n " + most + "; exec \"$@\"", "sh"));
        limited.addAll(command);
        return limited;
    }

    /** Returns the most memory that a process has had at any time, the heap and all else, in megabytes. */
    public static long peakMemoryMegabytes(long pid) {
        try (Stream<String> lines = Files.lines(Path.of("/proc", Long.toString(pid), "status"))) {
            String line = lines.filter(candidate -> candidate.startsWith(PEAK_MEMORY))
                    .findFirst()
                    .orElseThrow(() -> new IllegalStateException("expected a line " + PEAK_MEMORY + ", found none"));
            return Long.parseLong(line.replaceAll("[^0-9]", "")) / KILOBYTES_PER_MEGABYTE;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns how many descriptors a process has open. */
    private static int descriptors(long pid) {
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(pid), "fd"))) {
            return (int) open.count();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the most descriptors that a process has open within half a second. A single reading says little while connections are
     * still being closed, because the number goes up and down.
     */
    public static int mostDescriptors(long pid) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STEADY_MILLIS);
        int most = descriptors(pid);
        while (System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(READING_MILLIS);
            most = Math.max(most, descriptors(pid));
        }
        return most;
    }
}
