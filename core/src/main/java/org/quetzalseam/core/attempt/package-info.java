/** Identity, lifecycle and outcome of an attempt at a request. */
@NullMarked
package org.quetzalseam.core.attempt;

import org.jspecify.annotations.NullMarked;
