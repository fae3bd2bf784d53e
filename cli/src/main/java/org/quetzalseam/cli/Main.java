package org.quetzalseam.cli;

import java.util.concurrent.Callable;
import java.util.logging.Level;
import org.quetzalseam.cli.operate.ApplyCommand;
import org.quetzalseam.cli.operate.CheckCommand;
import org.quetzalseam.cli.operate.DiffCommand;
import org.quetzalseam.cli.operate.ExplainCommand;
import org.quetzalseam.cli.operate.FetchCommand;
import org.quetzalseam.cli.operate.PrintingCommand;
import org.quetzalseam.cli.operate.StatusCommand;
import org.quetzalseam.daemon.LogSetup;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Entry point of the command line {@code quetzalseam}. */
@Command(
        name = "quetzalseam",
        description = "Operates and evaluates quetzalseam.",
        mixinStandardHelpOptions = true,
        version = "quetzalseam 0.1.0",
        subcommands = {
            CheckCommand.class,
            DiffCommand.class,
            ApplyCommand.class,
            FetchCommand.class,
            StatusCommand.class,
            ExplainCommand.class,
            DemoCommand.class,
            BenchCommand.class
        })
public final class Main extends PrintingCommand implements Callable<Integer> {
    @Option(names = "--verbose", description = "Log events of the daemons.", scope = CommandLine.ScopeType.INHERIT)
    private boolean verbose;

    /** Runs the command and exits with its exit code. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** Runs the command and returns its exit code. */
    public static int run(String... args) {
        Main main = new Main();
        return new CommandLine(main)
                .setExecutionStrategy(parsed -> {
                    LogSetup.toStandardError(main.verbose ? Level.INFO : Level.SEVERE);
                    return new CommandLine.RunLast().execute(parsed);
                })
                .setExecutionExceptionHandler((failure, command, parsed) -> {
                    command.getErr().println("error: " + failure.getMessage());
                    return CommandLine.ExitCode.SOFTWARE;
                })
                .execute(args);
    }

    @Override
    public Integer call() {
        new CommandLine(this).usage(err());
        return CommandLine.ExitCode.USAGE;
    }
}
