package org.quetzalseam.daemon.platform;

/**
 * An object of the platform's store. Immutable; the array isn't copied and must not be changed.
 *
 * @param name the object's name
 * @param version the store's version of it, which rises with every write, also over returns of the store from an older copy
 * @param value its content
 */
public record StoredObject(String name, long version, byte[] value) {}
