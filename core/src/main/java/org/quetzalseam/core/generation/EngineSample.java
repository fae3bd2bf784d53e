package org.quetzalseam.core.generation;

import org.quetzalseam.core.fleet.Stage;

/**
 * Load of one engine at one moment. Immutable.
 *
 * @param id the engine's id
 * @param stage the stage that it serves
 * @param running number of requests that it runs
 * @param queued number of requests that wait in its queue
 * @param fill the share of its memory in use, from 0 to 1
 */
public record EngineSample(String id, Stage stage, int running, int queued, double fill) {}
