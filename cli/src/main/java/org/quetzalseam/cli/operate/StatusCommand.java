package org.quetzalseam.cli.operate;

import java.util.List;
import org.quetzalseam.core.catalogue.Manifest;
import org.quetzalseam.daemon.catalogue.CatalogueStore;
import org.quetzalseam.daemon.catalogue.Verdict;
import org.quetzalseam.daemon.platform.ObjectStore;
import org.quetzalseam.wire.message.Role;
import picocli.CommandLine.Command;

/** Shows the accepted catalogue, a pending or refused proposal with its problems, and the status of each process. */
@Command(
        name = "status",
        description = "Shows the accepted catalogue, a pending or refused proposal, and what each process runs.",
        mixinStandardHelpOptions = true)
public final class StatusCommand extends PlatformCommand {
    @Override
    int run() {
        ObjectStore store = store();
        CatalogueStore catalogue = new CatalogueStore(store);
        Manifest accepted = catalogue.accepted().value();
        Manifest proposal = catalogue.proposal().value();
        Verdict verdict = catalogue.verdict().value();
        out().printf(
                        "accepted: version %d by %s, %d files%n",
                        accepted.version(), accepted.author(), accepted.files().size());
        if (proposal.version() > accepted.version()) {
            boolean refused = verdict.writer() == proposal.writer();
            out().printf(
                            "proposed: version %d by %s, %s%n",
                            proposal.version(), proposal.author(), refused ? "refused" : "being reviewed");
            if (refused) {
                verdict.problems().forEach(problem -> out().println("  " + problem));
            }
        }
        List<Processes.ProcessStatus> processes = new Processes().all(store);
        processes.forEach(this::show);
        List<Processes.ProcessStatus> entries = processes.stream()
                .filter(process -> process.vm().role() == Role.ENTRY)
                .toList();
        long running = entries.stream()
                .filter(process -> process.catalogue().orElse(-1L) == accepted.version())
                .count();
        long unresponsive =
                entries.stream().filter(process -> process.status().isEmpty()).count();
        out().printf(
                        "version %d is in force at %d of %d entries; %d gave no answer%n",
                        accepted.version(), running, entries.size(), unresponsive);
        return ExitCodes.OK;
    }

    private void show(Processes.ProcessStatus process) {
        String status = process.status()
                .map(response -> process.vm().role() == Role.ENTRY
                        ? "runs version " + response.path("catalogue").asLong()
                        : response.path("load").path("free").asInt() + " places free, "
                                + response.path("load").path("queued").asInt() + " waiting")
                .orElse("no answer");
        out().printf(
                        "  %-28s %-16s %s%s%n",
                        process.vm().name(),
                        process.vm().zone(),
                        status,
                        process.vm().leaving() ? " (leaving)" : "");
    }
}
