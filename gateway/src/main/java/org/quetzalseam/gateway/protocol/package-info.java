/** The interface between the gateway and a platform's protocol, in the gateway's own terms. */
@NullMarked
package org.quetzalseam.gateway.protocol;

import org.jspecify.annotations.NullMarked;
