/** Runs under random injected faults, and the checks that no guarantee was violated. */
@NullMarked
package org.quetzalseam.cli.fault;

import org.jspecify.annotations.NullMarked;
