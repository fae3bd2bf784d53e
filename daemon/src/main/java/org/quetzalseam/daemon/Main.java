package org.quetzalseam.daemon;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.ini.Problem;
import org.quetzalseam.daemon.endpoint.EndpointDaemon;
import org.quetzalseam.daemon.settings.Settings;
import org.quetzalseam.daemon.settings.SettingsReader;
import org.quetzalseam.wire.message.Role;
import org.quetzalseam.wire.runtime.Service;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The command {@code quetzalseamd}: runs a daemon until a signal stops it. */
@Command(
        name = "quetzalseamd",
        description = "Runs one process of quetzalseam.",
        mixinStandardHelpOptions = true,
        version = "quetzalseam 0.1.0",
        subcommands = {Main.Entry.class, Main.Endpoint.class})
public final class Main implements Callable<Integer> {
    private static final int BAD_SETTINGS = 2;

    @Spec
    private @Nullable CommandSpec spec;

    /** Runs the command and exits with its status. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new Main()).execute(args));
    }

    @Override
    public Integer call() {
        CommandSpec given = spec;
        if (given != null) {
            given.commandLine().usage(given.commandLine().getErr());
        }
        return CommandLine.ExitCode.USAGE;
    }

    /** Base of the subcommands: reads the settings and runs the daemon of a role. */
    abstract static class RoleCommand implements Callable<Integer> {
        @Option(
                names = "--settings",
                required = true,
                paramLabel = "FILE",
                description = "The process's settings, as INI.")
        private Path file = Path.of("");

        @Option(names = "--check", description = "Check the settings and exit: 0 when they are sound, 2 when not.")
        private boolean checkOnly;

        @Option(names = "--verbose", description = "Log more.")
        private boolean verbose;

        @Spec
        private @Nullable CommandSpec spec;

        abstract Role role();

        abstract Service daemon(Settings settings);

        private PrintWriter err() {
            CommandSpec given = spec;
            return given == null
                    ? new PrintWriter(System.err, true, StandardCharsets.UTF_8)
                    : given.commandLine().getErr();
        }

        @Override
        public Integer call() throws InterruptedException {
            String text;
            try {
                text = Files.readString(file);
            } catch (IOException e) {
                err().println("settings " + file + " can't be read: " + e);
                return BAD_SETTINGS;
            }
            SettingsReader.Result result = SettingsReader.read(role(), file.toString(), text);
            List<Problem> problems = result.problems();
            problems.forEach(problem -> err().println(problem));
            if (!problems.isEmpty() || checkOnly) {
                return problems.isEmpty() ? CommandLine.ExitCode.OK : BAD_SETTINGS;
            }
            LogSetup.toStandardError(verbose ? Level.FINE : Level.INFO);
            runUntilStopped(result.settings());
            return CommandLine.ExitCode.OK;
        }

        private void runUntilStopped(Settings settings) throws InterruptedException {
            Service daemon = daemon(settings);
            daemon.start();
            CountDownLatch stopped = new CountDownLatch(1);
            // The JVM exits when this hook returns, so everything that must end before the exit ends in the hook.
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                daemon.stop();
                                stopped.countDown();
                                // Otherwise the JVM's exit status would be derived from the signal, as if the stop had
                                // failed.
                                Runtime.getRuntime().halt(CommandLine.ExitCode.OK);
                            },
                            "stop"));
            stopped.await();
        }
    }

    /** Runs an entry. */
    @Command(
            name = "entry",
            description = "Runs an entry: it takes callers' requests.",
            mixinStandardHelpOptions = true)
    static final class Entry extends RoleCommand {
        @Override
        Role role() {
            return Role.ENTRY;
        }

        @Override
        Service daemon(Settings settings) {
            return new EntryDaemon(settings);
        }
    }

    /** Runs an endpoint. */
    @Command(
            name = "endpoint",
            description = "Runs an endpoint: it stands before one engine or service.",
            mixinStandardHelpOptions = true)
    static final class Endpoint extends RoleCommand {
        @Override
        Role role() {
            return Role.ENDPOINT;
        }

        @Override
        Service daemon(Settings settings) {
            return new EndpointDaemon(settings);
        }
    }
}
