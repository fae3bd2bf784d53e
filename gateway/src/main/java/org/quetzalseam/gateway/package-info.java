/** The streaming entry: one event loop, no thread for a request. */
@NullMarked
package org.quetzalseam.gateway;

import org.jspecify.annotations.NullMarked;
