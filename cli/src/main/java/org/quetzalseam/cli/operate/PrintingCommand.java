package org.quetzalseam.cli.operate;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Base class of the commands, with their output streams. For use by a single thread. */
public abstract class PrintingCommand {
    @Spec
    private @Nullable CommandSpec spec;

    /** Returns the writer for results. */
    protected final PrintWriter out() {
        CommandSpec given = spec;
        return given == null
                ? new PrintWriter(System.out, true, StandardCharsets.UTF_8)
                : given.commandLine().getOut();
    }

    /** Returns the writer for error messages. */
    protected final PrintWriter err() {
        CommandSpec given = spec;
        return given == null
                ? new PrintWriter(System.err, true, StandardCharsets.UTF_8)
                : given.commandLine().getErr();
    }
}
