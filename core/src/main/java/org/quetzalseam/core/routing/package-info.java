/** Routing of requests to services: the routes, services and caller limits of the desired state. */
@NullMarked
package org.quetzalseam.core.routing;

import org.jspecify.annotations.NullMarked;
