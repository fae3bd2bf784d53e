package org.quetzalseam.cli.operate;

import java.util.List;
import org.quetzalseam.core.catalogue.CatalogueInForce.Accepted;
import org.quetzalseam.core.catalogue.CatalogueParser.Parsed;
import org.quetzalseam.daemon.catalogue.CatalogueStore;
import picocli.CommandLine.Command;

/** Shows what would change if a catalogue were applied. */
@Command(
        name = "diff",
        description = "Shows how a catalogue differs from the accepted one, without changing anything.",
        mixinStandardHelpOptions = true)
public final class DiffCommand extends CatalogueCommand {
    @Override
    int run() {
        Parsed parsed = check(directory().files());
        if (!parsed.valid()) {
            return ExitCodes.BAD_INPUT;
        }
        CatalogueStore store = catalogue();
        Accepted accepted = store.load(store.accepted().value());
        List<String> lines = CatalogueDiff.lines(accepted.catalogue(), parsed.catalogue());
        lines.forEach(out()::println);
        out().printf(
                        "%d differences from version %d%n",
                        lines.size(), accepted.manifest().version());
        return ExitCodes.OK;
    }
}
