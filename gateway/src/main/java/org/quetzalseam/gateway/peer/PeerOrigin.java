package org.quetzalseam.gateway.peer;

import org.quetzalseam.core.stream.StreamOrigin;

/**
 * What an entry knows of where a stream began. Immutable.
 *
 * @param origin where it began
 * @param ageMillis how long ago the entry recorded it, in milliseconds
 */
public record PeerOrigin(StreamOrigin origin, long ageMillis) {}
