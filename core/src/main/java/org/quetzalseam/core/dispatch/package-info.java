/** Decides, for all entries of a site together, which waiting requests get a place at an endpoint next. */
@NullMarked
package org.quetzalseam.core.dispatch;

import org.jspecify.annotations.NullMarked;
