/** Typed access to INI files that collects all problems instead of stopping at the first. */
@NullMarked
package org.quetzalseam.core.ini;

import org.jspecify.annotations.NullMarked;
