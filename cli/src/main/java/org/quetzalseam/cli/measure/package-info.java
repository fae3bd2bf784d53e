/** Measurements: comparison of policies, time added by the router, and cost of state, messages and requests. */
@NullMarked
package org.quetzalseam.cli.measure;

import org.jspecify.annotations.NullMarked;
