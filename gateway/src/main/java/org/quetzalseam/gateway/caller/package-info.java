/** The caller as a peer: connections, requests and answers. */
@NullMarked
package org.quetzalseam.gateway.caller;

import org.jspecify.annotations.NullMarked;
