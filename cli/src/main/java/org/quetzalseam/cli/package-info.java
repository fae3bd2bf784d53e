/** The command line {@code quetzalseam}, for operating and evaluating a deployment. */
@NullMarked
package org.quetzalseam.cli;

import org.jspecify.annotations.NullMarked;
