/** Registered endpoints: their identity, availability and health. */
@NullMarked
package org.quetzalseam.core.fleet;

import org.jspecify.annotations.NullMarked;
