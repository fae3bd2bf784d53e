/** The HTTP server of the product's own processes, and a client that uses each connection once. */
@NullMarked
package org.quetzalseam.daemon.http;

import org.jspecify.annotations.NullMarked;
