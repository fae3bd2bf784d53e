/** The HTTP interface for callers. */
@NullMarked
package org.quetzalseam.daemon.caller;

import org.jspecify.annotations.NullMarked;
