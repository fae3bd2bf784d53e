/** Queues of waiting attempts, slots of engine memory, and the policy for booking slots ahead. */
@NullMarked
package org.quetzalseam.core.admission;

import org.jspecify.annotations.NullMarked;
