package org.quetzalseam.gateway.dispatch;

/**
 * Settings of the places that dispatchers give. Immutable.
 *
 * @param processor number of processor cores that the entry's machine provides; 0 if it is not stated, and the entry decides for no
 *     others
 * @param sharedQueueFrom number of entries for each place at a service from which its calls are dispatched; 0 if they never are
 */
public record DispatchSettings(double processor, double sharedQueueFrom) {
    /** The settings of an entry that neither asks for places nor gives any. */
    public static final DispatchSettings OFF = new DispatchSettings(0, 0);
}
