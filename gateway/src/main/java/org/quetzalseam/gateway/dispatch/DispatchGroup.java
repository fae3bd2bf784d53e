package org.quetzalseam.gateway.dispatch;

/**
 * Identifies a group of a service's endpoints. Immutable.
 *
 * @param service the service
 * @param number number of the group, from 0
 */
record DispatchGroup(String service, int number) {
    /** Returns the key that determines which entry decides for the group. */
    String key() {
        return service + "/" + number;
    }
}
