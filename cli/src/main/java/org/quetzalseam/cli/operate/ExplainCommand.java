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

/** Shows what happened to one request, as recorded by the entries or in log files. */
@Command(
        name = "explain",
        description = "Shows what happened to the request with the given X-Request-Id, from the records that entries"
                + " keep in memory, or with --log from log files.",
        mixinStandardHelpOptions = true)
public final class ExplainCommand extends PlatformCommand {
    @Parameters(paramLabel = "REQUEST", description = "The request's id.")
    private String request = "";

    @Option(
            names = "--log",
            paramLabel = "FILE",
            description = "Search this log file instead of querying the entries; can be repeated.")
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
            err().println("cannot read log: " + e.getMessage());
            return ExitCodes.REFUSED;
        }
        lines.forEach(out()::println);
        if (lines.isEmpty()) {
            err().println("no log line found for request " + request);
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
        err().println("no reachable entry has a record of this request; entries keep the latest 2000 requests");
        return ExitCodes.REFUSED;
    }
}
