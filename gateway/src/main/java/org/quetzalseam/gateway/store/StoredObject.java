package org.quetzalseam.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One object of the store. Immutable.
 *
 * @param name its name, unique in its kind
 * @param revision the store's revision at its last change
 * @param spec its content
 */
public record StoredObject(String name, long revision, JsonNode spec) {}
