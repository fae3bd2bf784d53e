package org.quetzalseam.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.quetzalseam.standins.PlatformStandIn;
import org.quetzalseam.standins.PlatformStandIn.ListedVm;

/** A daemon in a separate process, started by a test. */
final class DaemonProcess {
    private static final Pattern STARTED = Pattern.compile("event=started .* port=(\\d+) operator_port=(\\d+)");

    private final Process process;
    private int port;
    private int operatorPort;

    DaemonProcess(Path directory, String role, String name, PlatformStandIn platform, String pool, String backend)
            throws IOException {
        Path settings = directory.resolve(name + ".ini");
        Files.writeString(
                settings,
                "[process]\nname = " + name + "\nzone = z\n[platform]\nurl = " + platform.url() + "\n" + backend
                        + "[timing]\nlame-duck-ms = 100\n");
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx128m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.quetzalseam.daemon.Main",
                        role,
                        "--settings",
                        settings.toString())
                .redirectErrorStream(true)
                .start();
        awaitStart(process.inputReader(StandardCharsets.UTF_8));
        platform.list(new ListedVm(name, role, "z", pool, port, operatorPort, false));
    }

    private void awaitStart(BufferedReader output) throws IOException {
        String line = output.readLine();
        while (line != null) {
            Matcher matcher = STARTED.matcher(line);
            if (matcher.find()) {
                port = Integer.parseInt(matcher.group(1));
                operatorPort = Integer.parseInt(matcher.group(2));
                discard(output);
                return;
            }
            line = output.readLine();
        }
        throw new IOException("the daemon process ended before it logged its start");
    }

    private static void discard(BufferedReader output) {
        TestThreads.EXECUTOR.execute(() -> {
            try {
                output.transferTo(Writer.nullWriter());
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

    void kill() {
        process.destroyForcibly();
    }
}
