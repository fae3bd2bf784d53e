/** Classes shared by all components of a process: the service life cycle, threads and timers. */
@NullMarked
package org.quetzalseam.wire.runtime;

import org.jspecify.annotations.NullMarked;
