/** The other entries as peers: how many there are. */
@NullMarked
package org.quetzalseam.gateway.entry;

import org.jspecify.annotations.NullMarked;
