package org.quetzalseam.gateway.stage;

import java.util.HashMap;
import java.util.Map;
import org.quetzalseam.gateway.endpoint.Directory;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.route.EntrySettings;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.ObjectStore;

/** Runs a controller for each service whose engines have stages. Used on the event loop only. */
public final class StageControllers {
    /** How often the directory is checked for new services, in milliseconds. */
    private static final long DISCOVERY_INTERVAL_MILLIS = 500;

    private final Timers timers;
    private final Directory directory;
    private final Protocol protocol;
    private final ObjectStore store;
    private final EntrySettings settings;
    private final Map<String, StageController> controllers = new HashMap<>();

    /** Creates a set without controllers; {@link #start} begins to discover services. */
    public StageControllers(
            Timers timers, Directory directory, Protocol protocol, ObjectStore store, EntrySettings settings) {
        this.timers = timers;
        this.directory = directory;
        this.protocol = protocol;
        this.store = store;
        this.settings = settings;
    }

    /** Begins to discover services whose engines have stages, and to start their controllers. */
    public void start() {
        timers.every(DISCOVERY_INTERVAL_MILLIS, this::discoverServices);
    }

    private void discoverServices() {
        for (String service : directory.stagedServices()) {
            controllers.computeIfAbsent(service, this::startController);
        }
    }

    private StageController startController(String service) {
        StageController controller = new StageController(timers, directory, protocol, store, service, settings);
        controller.start();
        return controller;
    }
}
