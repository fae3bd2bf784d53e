/** The streaming entry: all requests are served on one event loop, without a thread per request. */
@NullMarked
package org.quetzalseam.gateway;

import org.jspecify.annotations.NullMarked;
