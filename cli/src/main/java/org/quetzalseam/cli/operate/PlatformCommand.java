package org.quetzalseam.cli.operate;

import java.io.UncheckedIOException;
import java.util.concurrent.Callable;
import org.quetzalseam.daemon.catalogue.CatalogueException;
import org.quetzalseam.daemon.catalogue.CatalogueStore;
import org.quetzalseam.daemon.platform.HttpObjectStore;
import org.quetzalseam.daemon.platform.ObjectStore;
import org.quetzalseam.daemon.platform.StoreException;
import picocli.CommandLine.Option;

/** Base class of the commands that use the platform's store. Maps failures to {@link ExitCodes}. */
abstract class PlatformCommand extends PrintingCommand implements Callable<Integer> {
    @Option(
            names = "--platform",
            paramLabel = "URL",
            description = "URL of the platform's store. Default: the environment variable QUETZALSEAM_PLATFORM.",
            defaultValue = "${env:QUETZALSEAM_PLATFORM:-}")
    private String platform = "";

    final ObjectStore store() {
        if (platform.isEmpty()) {
            throw new IllegalArgumentException("--platform: expected the address of the platform's store");
        }
        return new HttpObjectStore(platform);
    }

    final CatalogueStore catalogue() {
        return new CatalogueStore(store());
    }

    /** Executes the command and returns its exit code. */
    abstract int run();

    @Override
    public final Integer call() {
        try {
            return run();
        } catch (IllegalArgumentException | IllegalStateException | UncheckedIOException e) {
            err().println("error: " + e.getMessage());
            return ExitCodes.BAD_INPUT;
        } catch (CatalogueException e) {
            err().println("error: " + e.getMessage());
            return e.code() == CatalogueException.Code.CONFLICT ? ExitCodes.CONFLICT : ExitCodes.UNAVAILABLE;
        } catch (StoreException e) {
            err().println("error: the platform's store: " + e.getMessage());
            return ExitCodes.UNAVAILABLE;
        }
    }
}
