/** Rate, concurrency and retry limits. */
@NullMarked
package org.quetzalseam.core.limits;

import org.jspecify.annotations.NullMarked;
