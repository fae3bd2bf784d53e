/** Leaving as planned: what a process that has been told to stop still takes, and when it may end. */
@NullMarked
package org.quetzalseam.core.drain;

import org.jspecify.annotations.NullMarked;
