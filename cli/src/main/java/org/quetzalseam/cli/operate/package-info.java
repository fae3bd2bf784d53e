/** Operator commands: manage the catalogue, and inspect processes and requests. */
@NullMarked
package org.quetzalseam.cli.operate;

import org.jspecify.annotations.NullMarked;
