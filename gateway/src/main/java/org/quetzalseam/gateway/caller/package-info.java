/** The callers' side of the entry: connections, requests and answers. */
@NullMarked
package org.quetzalseam.gateway.caller;

import org.jspecify.annotations.NullMarked;
