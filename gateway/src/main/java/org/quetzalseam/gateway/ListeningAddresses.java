package org.quetzalseam.gateway;

import java.net.InetSocketAddress;

/**
 * Where an entry listens, with the ports that it really has.
 *
 * @param callers where it takes callers' requests
 * @param ready where it answers whether it is ready
 * @param metrics where it shows its metrics
 */
public record ListeningAddresses(InetSocketAddress callers, InetSocketAddress ready, InetSocketAddress metrics) {}
