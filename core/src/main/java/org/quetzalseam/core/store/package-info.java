/** Positions in the history of a shared store, and the reading of its answers. */
@NullMarked
package org.quetzalseam.core.store;

import org.jspecify.annotations.NullMarked;
