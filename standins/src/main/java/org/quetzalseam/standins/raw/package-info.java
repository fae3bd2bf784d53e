/** An HTTP server whose replies are written byte by byte, for stand-ins that misbehave on purpose. */
@NullMarked
package org.quetzalseam.standins.raw;

import org.jspecify.annotations.NullMarked;
