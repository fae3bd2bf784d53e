/** Asks the dispatchers of services for places at endpoints, and gives places to the requests of other entries. */
@NullMarked
package org.quetzalseam.gateway.dispatch;

import org.jspecify.annotations.NullMarked;
