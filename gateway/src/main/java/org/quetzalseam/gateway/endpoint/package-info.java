/** The endpoint as a peer: its pool of connections, its record, and calls to it. */
@NullMarked
package org.quetzalseam.gateway.endpoint;

import org.jspecify.annotations.NullMarked;
