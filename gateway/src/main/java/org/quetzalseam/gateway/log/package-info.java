/** Log lines that never hold up a request. */
@NullMarked
package org.quetzalseam.gateway.log;

import org.jspecify.annotations.NullMarked;
