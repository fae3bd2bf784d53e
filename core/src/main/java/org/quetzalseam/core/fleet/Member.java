package org.quetzalseam.core.fleet;

/**
 * One endpoint as the platform lists it. Immutable.
 *
 * @param id names one start of the endpoint; a restart has another
 * @param service the service it belongs to
 * @param host its IP address
 * @param port its port
 * @param zone its availability zone
 * @param slots how many requests it runs at once
 * @param leaving whether it has said that it leaves
 * @param stage the part of a generation that it takes
 */
public record Member(
        String id, String service, String host, int port, String zone, int slots, boolean leaving, Stage stage) {
    /** Returns its address as {@code host:port}. */
    public String address() {
        return host + ":" + port;
    }
}
