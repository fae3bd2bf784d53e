/** Authenticated TCP connections that carry framed messages between processes. */
@NullMarked
package org.quetzalseam.wire.connection;

import org.jspecify.annotations.NullMarked;
