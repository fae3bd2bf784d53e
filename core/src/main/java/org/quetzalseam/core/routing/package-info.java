/** Which service a caller's request goes to: the routes, services and caller limits in force. */
@NullMarked
package org.quetzalseam.core.routing;

import org.jspecify.annotations.NullMarked;
