/** Positions in the history of a shared store. */
@NullMarked
package org.quetzalseam.core.store;

import org.jspecify.annotations.NullMarked;
