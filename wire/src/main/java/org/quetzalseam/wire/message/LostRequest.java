package org.quetzalseam.wire.message;

/**
 * A request that was running when a back end crashed.
 *
 * @param request the request's fingerprint
 * @param crash name of the crash, which all requests lost in it share
 */
public record LostRequest(String request, String crash) {}
