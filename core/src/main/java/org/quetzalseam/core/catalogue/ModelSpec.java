package org.quetzalseam.core.catalogue;

/**
 * A model of the catalogue. Immutable.
 *
 * @param name the model's name, as callers send it
 * @param prefillPool pool of the endpoints that prefill
 * @param decodePool pool of the endpoints that decode
 */
public record ModelSpec(String name, String prefillPool, String decodePool) {}
