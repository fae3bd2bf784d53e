package org.quetzalseam.gateway.dispatch;

import java.util.Collection;
import org.quetzalseam.core.dispatch.PlaceCapacity;

/** States which endpoints a service has. Used on the event loop only. */
public interface EndpointSource {
    /** Returns the endpoints of a service that places can be given at: the decoding ones of a service with stages, else all. */
    Collection<PlaceCapacity> usable(String service);

    /** Returns whether a service's endpoints run stages of generations. */
    boolean staged(String service);
}
