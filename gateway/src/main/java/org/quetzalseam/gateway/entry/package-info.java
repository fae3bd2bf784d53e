/** Registers the entries of a site and counts them. */
@NullMarked
package org.quetzalseam.gateway.entry;

import org.jspecify.annotations.NullMarked;
