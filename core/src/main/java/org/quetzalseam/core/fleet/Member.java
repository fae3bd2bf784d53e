package org.quetzalseam.core.fleet;

/**
 * One endpoint as the platform lists it. Immutable.
 *
 * @param id names the endpoint; it may keep its id over a restart
 * @param startMillis when it started, in Unix milliseconds; with the id it names one {@link Incarnation}
 * @param service the service it belongs to
 * @param host its IP address
 * @param port its port
 * @param zone its availability zone
 * @param slots how many requests it runs at once
 * @param draining whether it has said that it leaves
 * @param stage the part of a generation that it takes
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
        Stage stage) {
    /** Returns which life of the endpoint this speaks of. */
    public Incarnation incarnation() {
        return new Incarnation(id, startMillis);
    }

    /** Returns the same endpoint, started again. */
    public Member restartedAt(long atMillis) {
        return new Member(id, atMillis, service, host, port, zone, slots, draining, stage);
    }

    /** Returns its address as {@code host:port}. */
    public String address() {
        return host + ":" + port;
    }
}
