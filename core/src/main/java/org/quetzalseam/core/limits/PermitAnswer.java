package org.quetzalseam.core.limits;

/**
 * An entry's answer to a {@link PermitAsk}. Immutable.
 *
 * @param permit the decision
 * @param known what the answering entry knows of the limit
 */
public record PermitAnswer(Permit permit, KnownLimit known) {}
