/** The endpoints' side of the entry: connection pools, health records and calls. */
@NullMarked
package org.quetzalseam.gateway.endpoint;

import org.jspecify.annotations.NullMarked;
