/** Stand-ins for the systems around quetzalseam: the platform, engines, services and a network with faults. */
@NullMarked
package org.quetzalseam.standins;

import org.jspecify.annotations.NullMarked;
