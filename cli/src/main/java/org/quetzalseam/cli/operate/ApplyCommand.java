package org.quetzalseam.cli.operate;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalseam.cli.site.Wait;
import org.quetzalseam.core.catalogue.CatalogueParser.Parsed;
import org.quetzalseam.core.catalogue.Manifest;
import org.quetzalseam.daemon.catalogue.CatalogueStore;
import org.quetzalseam.daemon.catalogue.Verdict;
import org.quetzalseam.daemon.platform.ObjectStore;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Proposes a catalogue and waits until it is in force or has been refused. */
@Command(
        name = "apply",
        description = {
            "Proposes a catalogue for acceptance and waits until it is in force.",
            "0: in force everywhere. 1: refused. 2: invalid. 3: conflicts with another change. 4: result unknown."
        },
        mixinStandardHelpOptions = true)
public final class ApplyCommand extends CatalogueCommand {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    @Option(
            names = "--wait",
            paramLabel = "SECONDS",
            description = "Maximum time to wait. Default: ${DEFAULT-VALUE}.",
            defaultValue = "30")
    private int waitSeconds = 30;

    @Option(
            names = "--base",
            paramLabel = "VERSION",
            description =
                    "The accepted version that the files are based on. Default: the version in DIR/.catalogue-version.")
    private Optional<Long> base = Optional.empty();

    @Override
    int run() {
        CatalogueDirectory directory = directory();
        Map<String, String> files = directory.files();
        Parsed parsed = check(files);
        if (!parsed.valid()) {
            return ExitCodes.BAD_INPUT;
        }
        ObjectStore store = store();
        CatalogueStore catalogue = new CatalogueStore(store);
        Manifest proposal =
                catalogue.propose(files, base.orElseGet(directory::baseVersion), System.getProperty("user.name"));
        out().printf("proposed version %d%n", proposal.version());
        out().flush();
        long end = System.nanoTime() + Duration.ofSeconds(waitSeconds).toNanos();
        while (System.nanoTime() - end < 0) {
            Manifest accepted = catalogue.accepted().value();
            if (accepted.writer() == proposal.writer()) {
                directory.baseVersion(proposal.version());
                out().printf("accepted version %d%n", proposal.version());
                return awaitInForce(store, proposal.version(), end);
            }
            Verdict verdict = catalogue.verdict().value();
            if (verdict.writer() == proposal.writer()) {
                verdict.problems().forEach(err()::println);
                err().println("refused; the accepted catalogue stays in force");
                return ExitCodes.REFUSED;
            }
            Wait.sleep(POLL_INTERVAL);
        }
        err().println("no entry has reviewed the proposal yet; see 'quetzalseam status'");
        return ExitCodes.UNAVAILABLE;
    }

    private int awaitInForce(ObjectStore store, long version, long end) {
        Processes processes = new Processes();
        while (true) {
            List<Processes.ProcessStatus> entries = processes.entries(store);
            long running = entries.stream()
                    .filter(process -> process.catalogue().orElse(-1L) >= version)
                    .count();
            boolean everywhere = running == entries.size() && !entries.isEmpty();
            if (everywhere || System.nanoTime() - end > 0) {
                out().printf("in force at %d of %d entries%n", running, entries.size());
                return everywhere ? ExitCodes.OK : ExitCodes.UNAVAILABLE;
            }
            Wait.sleep(POLL_INTERVAL);
        }
    }
}
