/** Choice of an endpoint by load, availability zone and hash. */
@NullMarked
package org.quetzalseam.core.placement;

import org.jspecify.annotations.NullMarked;
