package org.quetzalseam.daemon.platform;

/**
 * An object of the platform's store. Immutable; the array is not copied and must not be changed.
 *
 * @param name the object's name
 * @param version the object's version, which increases with every write, also across restores of the store from an older copy
 * @param value the object's content
 */
public record StoredObject(String name, long version, byte[] value) {}
