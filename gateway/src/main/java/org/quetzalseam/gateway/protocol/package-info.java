/** What a platform's protocol has to offer the gateway, in the gateway's own terms. */
@NullMarked
package org.quetzalseam.gateway.protocol;

import org.jspecify.annotations.NullMarked;
