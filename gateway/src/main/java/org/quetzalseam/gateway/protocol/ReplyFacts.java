package org.quetzalseam.gateway.protocol;

import org.quetzalseam.core.limits.StatedLimit;

/**
 * The facts that an endpoint's reply states beside its status. Immutable.
 *
 * @param signed whether the reply carries the endpoint's signature, as every answer of a run does
 * @param notRun whether the endpoint states that it has not run the request and will not run it
 * @param misdirected whether another endpoint answered than the one that the request names
 * @param limit how many requests a second the endpoint takes from all entries together, if it states that
 */
public record ReplyFacts(boolean signed, boolean notRun, boolean misdirected, StatedLimit limit) {}
