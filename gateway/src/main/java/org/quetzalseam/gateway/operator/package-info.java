/** The interface to operators and the platform's load balancer: readiness and metrics. */
@NullMarked
package org.quetzalseam.gateway.operator;

import org.jspecify.annotations.NullMarked;
