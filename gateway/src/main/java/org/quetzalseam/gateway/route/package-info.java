/** Routes requests: plain calls, generations, retries and refusals. */
@NullMarked
package org.quetzalseam.gateway.route;

import org.jspecify.annotations.NullMarked;
