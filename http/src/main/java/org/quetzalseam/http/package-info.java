/** How HTTP connections are read: which bytes are the reply to the request in progress, and one request after the other. */
@NullMarked
package org.quetzalseam.http;

import org.jspecify.annotations.NullMarked;
