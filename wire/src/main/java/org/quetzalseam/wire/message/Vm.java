package org.quetzalseam.wire.message;

/**
 * One VM of the platform's list, as far as it concerns quetzalseam. Immutable.
 *
 * @param name the VM's name; the process on it has the same name in its settings
 * @param role role of the process on it
 * @param zone its availability zone
 * @param pool pool of the engine or service it runs; empty for entries
 * @param host IP address
 * @param port port of the process: for an endpoint the port that entries connect to, for an entry the port of its
 *     operators' interface
 * @param operatorPort port of the operators' interface
 * @param leaving whether the platform is about to remove the VM
 */
public record Vm(
        String name, Role role, String zone, String pool, String host, int port, int operatorPort, boolean leaving) {}
