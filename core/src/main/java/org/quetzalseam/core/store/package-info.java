/** What a shared store says of itself. */
@NullMarked
package org.quetzalseam.core.store;

import org.jspecify.annotations.NullMarked;
