package org.quetzalseam.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.quetzalseam.standins.PlatformStandIn;
import org.quetzalseam.standins.PlatformStandIn.ListedVm;
import org.quetzalseam.standins.ProcessUsage;

/** A daemon in a separate process, started by a test. */
final class DaemonProcess {
    private static final Pattern STARTED = Pattern.compile("event=started .* port=(\\d+) operator_port=(\\d+)");

    /** Memory of the smallest entry VM that the sites have, in megabytes. */
    static final long MEMORY_BOUND_MEGABYTES = 258;

    /** Descriptors of a bounded process: a tenth of a VM's. */
    private static final int DESCRIPTORS = 400;
    /** Descriptors that may be open when all clients have left: as many as the platform sets aside for files. */
    static final int DESCRIPTORS_AT_REST = 200;

    private static final Path LOGS = Path.of("target", "daemons");
    private static final List<String> USUAL_OPTIONS = List.of("-Xmx128m");
    private static final List<String> BOUNDED_OPTIONS = List.of("-Xmx64m", "-Xss256k", "-XX:+UseSerialGC");

    private final Process process;
    private int port;
    private int operatorPort;

    DaemonProcess(Path directory, String role, String name, PlatformStandIn platform, String pool, String backend)
            throws IOException {
        this(platform, pool, role, name, command(directory, role, name, platform, backend, USUAL_OPTIONS));
    }

    private DaemonProcess(PlatformStandIn platform, String pool, String role, String name, List<String> command)
            throws IOException {
        process = new ProcessBuilder(command).redirectErrorStream(true).start();
        awaitStart(process.inputReader(StandardCharsets.UTF_8));
        platform.list(new ListedVm(name, role, "z", pool, port, operatorPort, false));
    }

    /** Starts a process with little memory and few descriptors. */
    static DaemonProcess bounded(
            Path directory, String role, String name, PlatformStandIn platform, String pool, String backend)
            throws IOException {
        List<String> command = command(directory, role, name, platform, backend, BOUNDED_OPTIONS);
        return new DaemonProcess(platform, pool, role, name, ProcessUsage.withDescriptors(DESCRIPTORS, command));
    }

    private static List<String> command(
            Path directory, String role, String name, PlatformStandIn platform, String backend, List<String> options)
            throws IOException {
        Path settings = directory.resolve(name + ".ini");
        Files.writeString(
                settings,
                "[process]\nname = " + name + "\nzone = z\n[platform]\nurl = " + platform.url() + "\n" + backend
                        + "[timing]\nlame-duck-ms = 100\n");
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(List.of(
                "-cp",
                System.getProperty("java.class.path"),
                "org.quetzalseam.daemon.Main",
                role,
                "--settings",
                settings.toString()));
        return command;
    }

    boolean alive() {
        return process.isAlive();
    }

    long peakMemoryMegabytes() {
        return ProcessUsage.peakMemoryMegabytes(process.pid());
    }

    /** Returns the most descriptors that are open within half a second. */
    int mostDescriptors() throws InterruptedException {
        return ProcessUsage.mostDescriptors(process.pid());
    }

    private void awaitStart(BufferedReader output) throws IOException {
        String line = output.readLine();
        while (line != null) {
            Matcher matcher = STARTED.matcher(line);
            if (matcher.find()) {
                port = Integer.parseInt(matcher.group(1));
                operatorPort = Integer.parseInt(matcher.group(2));
                writeLog(output, LOGS.resolve("daemon-" + process.pid() + ".log"));
                return;
            }
            line = output.readLine();
        }
        throw new IOException("the daemon process ended before it logged its start");
    }

    private static void writeLog(BufferedReader output, Path file) throws IOException {
        Files.createDirectories(LOGS);
        Writer log = Files.newBufferedWriter(file);
        TestThreads.EXECUTOR.execute(() -> {
            try (log) {
                output.transferTo(log);
            } catch (IOException expected) {
                // The process has ended.
            }
        });
    }

    int port() {
        return port;
    }

    int operatorPort() {
        return operatorPort;
    }

    void signal(String name) throws IOException, InterruptedException {
        String[] command = {"kill", "-" + name.toUpperCase(Locale.ROOT), Long.toString(process.pid())};
        new ProcessBuilder(command).start().waitFor();
    }

    /** Asks the daemon to shut down, waits for its end and returns its exit status. */
    int stop() throws InterruptedException {
        process.destroy();
        return process.waitFor();
    }

    /** Waits for the end of the process. Returns whether it has ended within the time. */
    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    void kill() {
        process.destroyForcibly();
    }
}
