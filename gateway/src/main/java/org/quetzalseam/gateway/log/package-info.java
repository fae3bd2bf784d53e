/** Asynchronous logging, which never delays a request. */
@NullMarked
package org.quetzalseam.gateway.log;

import org.jspecify.annotations.NullMarked;
