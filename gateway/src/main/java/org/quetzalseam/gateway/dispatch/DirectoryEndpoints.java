package org.quetzalseam.gateway.dispatch;

import java.util.Collection;
import org.quetzalseam.core.dispatch.PlaceCapacity;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.gateway.endpoint.Directory;
import org.quetzalseam.gateway.endpoint.Endpoint;

/** The endpoints that this entry's directory has. Used on the event loop only. */
public final class DirectoryEndpoints implements EndpointSource {
    private final Directory directory;

    /** Creates a view of a directory. */
    public DirectoryEndpoints(Directory directory) {
        this.directory = directory;
    }

    @Override
    public Collection<PlaceCapacity> usable(String service) {
        Stage stage = staged(service) ? Stage.DECODE : Stage.WHOLE;
        return directory.usable(service, stage).stream()
                .map(DirectoryEndpoints::capacity)
                .toList();
    }

    @Override
    public boolean staged(String service) {
        return directory.all(service).stream()
                .anyMatch(endpoint -> endpoint.member().stage() != Stage.WHOLE);
    }

    private static PlaceCapacity capacity(Endpoint endpoint) {
        return new PlaceCapacity(
                endpoint.member().incarnation(), endpoint.member().slots(), 0);
    }
}
