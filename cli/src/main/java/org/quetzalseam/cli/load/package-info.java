/** Open-loop load generation, the outcomes that callers observe, and reports. */
@NullMarked
package org.quetzalseam.cli.load;

import org.jspecify.annotations.NullMarked;
