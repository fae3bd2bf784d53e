package org.quetzalseam.core.generation;

import org.quetzalseam.core.fleet.Stage;

/**
 * One engine's load at a moment. Immutable.
 *
 * @param id the engine
 * @param stage the part it takes
 * @param running requests that it runs
 * @param queued requests that wait at it
 * @param fill the share of its memory in use, from 0 to 1
 */
public record EngineSample(String id, Stage stage, int running, int queued, double fill) {}
