package org.quetzalseam.cli.operate;

import org.quetzalseam.core.catalogue.CatalogueInForce.Accepted;
import org.quetzalseam.daemon.catalogue.CatalogueStore;
import picocli.CommandLine.Command;

/** Downloads the accepted catalogue into a directory. */
@Command(
        name = "fetch",
        description = "Replaces the .ini files of a directory with those of the accepted catalogue.",
        mixinStandardHelpOptions = true)
public final class FetchCommand extends CatalogueCommand {
    @Override
    int run() {
        CatalogueStore store = catalogue();
        Accepted accepted = store.load(store.accepted().value());
        CatalogueDirectory directory = directory();
        directory.replace(accepted.files());
        directory.baseVersion(accepted.manifest().version());
        out().printf(
                        "fetched version %d by %s%n",
                        accepted.manifest().version(), accepted.manifest().author());
        return ExitCodes.OK;
    }
}
