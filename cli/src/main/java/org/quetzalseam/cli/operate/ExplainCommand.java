package org.quetzalseam.cli.operate;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.quetzalseam.daemon.platform.ObjectStore;
import org.quetzalseam.wire.message.Role;
import org.quetzalseam.wire.message.Vm;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Tells what happened to one request. */
@Command(
        name = "explain",
        description =
                "Tells what happened to a request, by the id in its X-Request-Id header: from the processes' memory,"
                        + " or with --log from what they have logged.",
        mixinStandardHelpOptions = true)
public final class ExplainCommand extends PlatformCommand {
    @Parameters(paramLabel = "REQUEST", description = "The request's id.")
    private String request = "";

    @Option(
            names = "--log",
            paramLabel = "FILE",
            description = "Read log files instead of asking the processes; may be given again.")
    private List<Path> logs = List.of();

    @Override
    int run() {
        return logs.isEmpty() ? fromProcesses() : fromLogs();
    }

    private int fromLogs() {
        List<String> lines;
        try {
            lines = LogSearch.lines(logs, request);
        } catch (IOException | UncheckedIOException e) {
            err().println("a log can't be read: " + e.getMessage());
            return ExitCodes.REFUSED;
        }
        lines.forEach(out()::println);
        if (lines.isEmpty()) {
            err().println("no line of these logs names request " + request);
            return ExitCodes.REFUSED;
        }
        return ExitCodes.OK;
    }

    private int fromProcesses() {
        ObjectStore store = store();
        Processes processes = new Processes();
        String path = "/explain?request=" + URLEncoder.encode(request, StandardCharsets.UTF_8);
        for (Vm vm : store.members(0, Duration.ZERO).vms()) {
            Optional<JsonNode> notes = vm.role() == Role.ENTRY ? processes.fetch(vm, path) : Optional.empty();
            if (notes.isPresent()) {
                out().println("at " + vm.name() + ":");
                notes.get().forEach(note -> out().println("  " + note.asText()));
                return ExitCodes.OK;
            }
        }
        err().println("no entry that answers remembers this request; entries remember the latest 2000");
        return ExitCodes.REFUSED;
    }
}
