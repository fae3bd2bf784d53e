/** Decisions about generations: how much memory to book, who waits for it, and which engines read or decode. */
@NullMarked
package org.quetzalseam.core.generation;

import org.jspecify.annotations.NullMarked;
