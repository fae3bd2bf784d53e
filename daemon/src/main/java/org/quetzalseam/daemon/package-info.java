/** The daemon {@code quetzalseamd}: its command, the entry role, and helpers that its packages share. */
@NullMarked
package org.quetzalseam.daemon;

import org.jspecify.annotations.NullMarked;
