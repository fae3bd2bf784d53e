/** Messages between entries, over their internal ports. */
@NullMarked
package org.quetzalseam.gateway.peer;

import org.jspecify.annotations.NullMarked;
