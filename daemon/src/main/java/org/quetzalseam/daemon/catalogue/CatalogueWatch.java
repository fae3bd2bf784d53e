package org.quetzalseam.daemon.catalogue;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.quetzalseam.core.catalogue.CatalogueInForce;
import org.quetzalseam.core.catalogue.CatalogueInForce.Accepted;
import org.quetzalseam.core.catalogue.Manifest;
import org.quetzalseam.daemon.catalogue.CatalogueStore.Versioned;
import org.quetzalseam.daemon.platform.WatchLoop;
import org.quetzalseam.wire.runtime.Service;

/**
 * Watches the accepted manifest in the platform's store and puts each newer catalogue in force. During an outage of the store it
 * keeps retrying, and the process continues with the catalogue in force. Thread-safe.
 */
public final class CatalogueWatch implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final CatalogueStore store;
    private final CatalogueInForce inForce;
    private final WatchLoop loop;
    private long storeVersion;

    /** Creates a watch that offers the catalogues it reads to {@code inForce}. */
    public CatalogueWatch(CatalogueStore store, CatalogueInForce inForce, String processName) {
        this.store = store;
        this.inForce = inForce;
        this.loop = new WatchLoop(processName + "-catalogue-watch", this::poll);
    }

    @Override
    public void start() {
        loop.start();
    }

    private void poll(Duration wait) {
        long askedAt = System.nanoTime();
        store.watchAccepted(storeVersion, wait).ifPresent(this::apply);
        inForce.confirm(askedAt);
    }

    private void apply(Versioned<Manifest> read) {
        Manifest manifest = read.value();
        if (manifest.version() > inForce.version()) {
            Accepted accepted = store.load(manifest);
            if (inForce.offer(accepted)) {
                logger.atInfo().log(
                        "event=catalogue-in-force version=%d author=\"%s\"", manifest.version(), manifest.author());
            }
        } else if (manifest.version() < inForce.version()) {
            restore(read);
        }
        storeVersion = read.storeVersion();
    }

    /** Writes the catalogue in force back to a store that has lost it, such as after a restore from a backup. */
    private void restore(Versioned<Manifest> read) {
        Accepted current = inForce.current();
        store.storeFiles(current.files());
        store.accept(current.manifest(), read.storeVersion());
        logger.atWarning().log(
                "event=catalogue-restored version=%d store_had=%d",
                current.manifest().version(), read.value().version());
    }

    @Override
    public void stop() {
        loop.stop();
    }
}
