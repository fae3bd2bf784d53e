/** Quarantines requests that crash the endpoints that run them, at all entries of a site. */
@NullMarked
package org.quetzalseam.gateway.crash;

import org.jspecify.annotations.NullMarked;
