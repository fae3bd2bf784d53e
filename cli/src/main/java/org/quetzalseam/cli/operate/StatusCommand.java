package org.quetzalseam.cli.operate;

import java.util.List;
import org.quetzalseam.core.catalogue.Manifest;
import org.quetzalseam.daemon.catalogue.CatalogueStore;
import org.quetzalseam.daemon.catalogue.Verdict;
import org.quetzalseam.daemon.platform.ObjectStore;
import org.quetzalseam.wire.message.Role;
import picocli.CommandLine.Command;

/** Shows what is accepted, what was refused and why, and what each process runs. */
@Command(
        name = "status",
        description = "Shows the accepted catalogue, the last refusal, and what each process runs.",
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
                .filter(seen -> seen.vm().role() == Role.ENTRY)
                .toList();
        long running = entries.stream()
                .filter(seen -> seen.catalogue().orElse(-1L) == accepted.version())
                .count();
        long silent = entries.stream().filter(seen -> seen.status().isEmpty()).count();
        out().printf(
                        "version %d is in force at %d of %d entries; %d gave no answer%n",
                        accepted.version(), running, entries.size(), silent);
        return ExitCodes.OK;
    }

    private void show(Processes.ProcessStatus seen) {
        String said = seen.status()
                .map(status -> seen.vm().role() == Role.ENTRY
                        ? "runs version " + status.path("catalogue").asLong()
                        : status.path("load").path("free").asInt() + " places free, "
                                + status.path("load").path("queued").asInt() + " waiting")
                .orElse("no answer");
        out().printf(
                        "  %-28s %-16s %s%s%n",
                        seen.vm().name(), seen.vm().zone(), said, seen.vm().leaving() ? " (leaving)" : "");
    }
}
