package org.quetzalseam.daemon.service;

import java.util.Map;

/**
 * The answer of a plain service. Immutable; the array is not copied and must not be changed.
 *
 * @param status HTTP status
 * @param headers headers to forward to the caller
 * @param body body
 */
public record ServiceAnswer(int status, Map<String, String> headers, byte[] body) {
    /** Copies the headers. */
    public ServiceAnswer {
        headers = Map.copyOf(headers);
    }
}
