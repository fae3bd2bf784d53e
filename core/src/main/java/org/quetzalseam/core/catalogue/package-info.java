/** The catalogue that operators maintain: its model, parser and versions. */
@NullMarked
package org.quetzalseam.core.catalogue;

import org.jspecify.annotations.NullMarked;
