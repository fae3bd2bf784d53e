package org.quetzalseam.gateway.endpoint;

/** Receives what calls to the endpoint show. */
interface EndpointListener {
    /** Called when the endpoint has shown that its process ended or can't be reached, while it was not draining. */
    void unplannedEnd();

    /** Called when the endpoint states no limit any more. */
    void limitLifted(Endpoint endpoint);
}
