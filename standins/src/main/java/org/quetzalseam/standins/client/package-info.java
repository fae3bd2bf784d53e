/** Clients that violate the protocol on purpose. */
@NullMarked
package org.quetzalseam.standins.client;

import org.jspecify.annotations.NullMarked;
