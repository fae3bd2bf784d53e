/** An HTTP server whose replies are written as raw text, for stand-ins that violate the protocol on purpose. */
@NullMarked
package org.quetzalseam.standins.raw;

import org.jspecify.annotations.NullMarked;
