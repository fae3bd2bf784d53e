/** The event loop and its timers. */
@NullMarked
package org.quetzalseam.gateway.runtime;

import org.jspecify.annotations.NullMarked;
