package org.quetzalseam.daemon.endpoint;

import org.quetzalseam.wire.message.Load;

/**
 * The state of an endpoint that the operator interface reports. Immutable.
 *
 * @param name the process's name
 * @param zone its availability zone
 * @param incarnation its incarnation, in hexadecimal
 * @param kind kind of the back end
 * @param catalogue highest version of the catalogue that it forwards; an endpoint itself applies none
 * @param members highest version of the list of VMs that it forwards
 * @param load its load
 */
public record EndpointStatus(
        String name, String zone, String incarnation, String kind, long catalogue, long members, Load load) {}
