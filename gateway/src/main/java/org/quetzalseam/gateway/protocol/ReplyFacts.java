package org.quetzalseam.gateway.protocol;

/**
 * The facts that an endpoint's reply states beside its status. Immutable.
 *
 * @param signed whether the reply carries the endpoint's signature, as every answer of a run does
 * @param notRun whether the endpoint states that it has not run the request and will not run it
 */
public record ReplyFacts(boolean signed, boolean notRun) {}
