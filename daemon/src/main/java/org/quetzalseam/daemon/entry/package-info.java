/** The entry role: placement, attempts, retries and the results returned to callers. */
@NullMarked
package org.quetzalseam.daemon.entry;

import org.jspecify.annotations.NullMarked;
