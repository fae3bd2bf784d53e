package org.quetzalseam.daemon.entry;

import java.util.List;

/**
 * The state of an entry, as shown to operators. Immutable.
 *
 * @param name the process's name
 * @param zone its availability zone
 * @param incarnation its incarnation, in hexadecimal
 * @param catalogue version of the catalogue in force
 * @param members version of the list of VMs in use
 * @param endpoints the endpoints on that list
 */
public record EntryStatus(
        String name, String zone, String incarnation, long catalogue, long members, List<Peer> endpoints) {
    /** Copies the list. */
    public EntryStatus {
        endpoints = List.copyOf(endpoints);
    }

    /**
     * The state of an endpoint, as seen by the entry. Immutable.
     *
     * @param name its name
     * @param pool its pool
     * @param connected whether there is a connection to it
     * @param leaving whether it is shutting down and accepts no new work
     */
    public record Peer(String name, String pool, boolean connected, boolean leaving) {}
}
