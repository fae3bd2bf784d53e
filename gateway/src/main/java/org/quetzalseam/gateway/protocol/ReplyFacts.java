package org.quetzalseam.gateway.protocol;

/**
 * What an endpoint's reply says beside its status. Immutable.
 *
 * @param signed whether it bears the endpoint's signature, as every answer of a run does
 * @param notRun whether the endpoint says that it hasn't run the request and won't
 */
public record ReplyFacts(boolean signed, boolean notRun) {}
