/** The client of a model engine. */
@NullMarked
package org.quetzalseam.daemon.engine;

import org.jspecify.annotations.NullMarked;
