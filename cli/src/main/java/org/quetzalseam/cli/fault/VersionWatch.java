package org.quetzalseam.cli.fault;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import org.quetzalseam.cli.site.EntryVm;
import org.quetzalseam.cli.site.Site;
import org.quetzalseam.cli.site.Wait;
import org.quetzalseam.daemon.EntryDaemon;

/** Records a violation whenever an entry process reverts to an older catalogue version. Thread-safe. */
final class VersionWatch {
    private static final Duration INTERVAL = Duration.ofMillis(10);

    private final Site site;
    private final Map<EntryDaemon, Long> lastVersions = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final Thread thread = new Thread(this::watch, "version-watch");
    private long highest;

    VersionWatch(Site site) {
        this.site = site;
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    private void watch() {
        while (!Thread.currentThread().isInterrupted()) {
            site.entries().forEach(this::checkVersion);
            Wait.sleep(INTERVAL);
        }
    }

    private synchronized void checkVersion(EntryVm vm) {
        EntryDaemon daemon;
        try {
            daemon = vm.daemon();
        } catch (NoSuchElementException expected) {
            // The entry is down at the moment.
            return;
        }
        long version = daemon.catalogueVersion();
        long before = lastVersions.getOrDefault(daemon, 0L);
        if (version < before) {
            violations.add(vm.name() + " reverted from version " + before + " to " + version);
        }
        lastVersions.put(daemon, version);
        highest = Math.max(highest, version);
    }

    synchronized long highest() {
        return highest;
    }

    List<String> stop() {
        thread.interrupt();
        synchronized (this) {
            return List.copyOf(violations);
        }
    }
}
