package org.quetzalseam.cli.operate;

import java.util.Map;
import org.quetzalseam.core.catalogue.CatalogueParser.Parsed;
import picocli.CommandLine.Command;

/** Validates a catalogue locally, without contacting the platform. */
@Command(
        name = "check",
        description = "Validates a catalogue and prints every problem. 0: valid. 2: invalid.",
        mixinStandardHelpOptions = true)
public final class CheckCommand extends CatalogueCommand {
    @Override
    int run() {
        Map<String, String> files = directory().files();
        if (files.isEmpty()) {
            throw new IllegalArgumentException("DIR: expected at least one .ini file");
        }
        Parsed parsed = check(files);
        if (!parsed.valid()) {
            return ExitCodes.BAD_INPUT;
        }
        out().printf(
                        "sound: %d owners, %d models, %d services, %d entries%n",
                        parsed.catalogue().owners().size(),
                        parsed.catalogue().models().size(),
                        parsed.catalogue().services().size(),
                        parsed.catalogue().entries().size());
        return ExitCodes.OK;
    }
}
