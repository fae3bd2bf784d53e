package org.quetzalseam.wire.message;

import java.util.List;

/**
 * Announces that the endpoint is shutting down and accepts no new work from now on.
 *
 * @param keys digests of the idempotency keys that the endpoint has seen and still retains
 */
public record Leaving(List<String> keys) implements Message {}
