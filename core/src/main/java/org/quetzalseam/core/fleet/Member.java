package org.quetzalseam.core.fleet;

import org.jspecify.annotations.Nullable;

/**
 * An endpoint as registered with the platform. Immutable.
 *
 * @param id id of the endpoint; an endpoint may keep its id over a restart
 * @param startMillis start time, in Unix milliseconds; together with the id it identifies one {@link Incarnation}
 * @param service the service it belongs to
 * @param host its IP address
 * @param port its port
 * @param zone its availability zone
 * @param slots number of requests that it runs concurrently
 * @param draining whether it has announced that it shuts down
 * @param stage the part of a generation that it performs
 * @param build the version of its software, or null if it is not known; what two builds write does not fit together
 */
public record Member(
        String id,
        long startMillis,
        String service,
        String host,
        int port,
        String zone,
        int slots,
        boolean draining,
        Stage stage,
        @Nullable String build) {
    /** Returns the incarnation of the endpoint that this registration describes. */
    public Incarnation incarnation() {
        return new Incarnation(id, startMillis);
    }

    /** Returns the same endpoint after a restart at the given time, in Unix milliseconds; its build may have changed. */
    public Member restartedAt(long newStartMillis) {
        return new Member(id, newStartMillis, service, host, port, zone, slots, draining, stage, null);
    }

    /** Returns the address of the endpoint as {@code host:port}. */
    public String address() {
        return host + ":" + port;
    }
}
