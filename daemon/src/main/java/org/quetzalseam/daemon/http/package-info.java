/** The HTTP server of the product's own processes. */
@NullMarked
package org.quetzalseam.daemon.http;

import org.jspecify.annotations.NullMarked;
