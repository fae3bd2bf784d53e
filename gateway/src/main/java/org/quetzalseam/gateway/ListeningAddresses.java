package org.quetzalseam.gateway;

import java.net.InetSocketAddress;

/**
 * The addresses that an entry listens on, with the ports in use also where port 0 was configured.
 *
 * @param callers the address for callers' requests
 * @param ready the address for readiness checks
 * @param metrics the address that serves the metrics
 */
public record ListeningAddresses(InetSocketAddress callers, InetSocketAddress ready, InetSocketAddress metrics) {}
