/** Graceful shutdown: which requests a draining process still accepts, and when it may end. */
@NullMarked
package org.quetzalseam.core.drain;

import org.jspecify.annotations.NullMarked;
