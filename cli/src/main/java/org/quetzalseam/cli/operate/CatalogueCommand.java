package org.quetzalseam.cli.operate;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.quetzalseam.core.catalogue.CatalogueParser;
import org.quetzalseam.core.catalogue.CatalogueParser.Parsed;
import org.quetzalseam.core.ini.Problem;
import picocli.CommandLine.Parameters;

/** Base class of the commands that work on a catalogue directory. */
abstract class CatalogueCommand extends PlatformCommand {
    @Parameters(paramLabel = "DIR", description = "Directory with the catalogue's .ini files.")
    private Path directory = Path.of("");

    final CatalogueDirectory directory() {
        return new CatalogueDirectory(directory);
    }

    /** Parses the files as one catalogue, prints every problem to the error output, and returns the result. */
    final Parsed check(Map<String, String> files) {
        Parsed parsed = CatalogueParser.parse(files);
        List<Problem> problems = parsed.problems();
        problems.forEach(problem -> err().println(problem));
        if (!problems.isEmpty()) {
            err().println(problems.size() + " problems");
        }
        return parsed;
    }
}
