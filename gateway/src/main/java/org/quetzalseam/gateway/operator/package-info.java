/** The operator and the platform's balancer as peers: readiness and metrics. */
@NullMarked
package org.quetzalseam.gateway.operator;

import org.jspecify.annotations.NullMarked;
