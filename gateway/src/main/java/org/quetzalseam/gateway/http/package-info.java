/** HTTP connections to endpoints and to the platform's store, one exchange at a time on each. */
@NullMarked
package org.quetzalseam.gateway.http;

import org.jspecify.annotations.NullMarked;
