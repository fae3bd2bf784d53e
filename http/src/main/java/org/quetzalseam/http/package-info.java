/** Which bytes of a kept HTTP connection are the reply to the request in progress. */
@NullMarked
package org.quetzalseam.http;

import org.jspecify.annotations.NullMarked;
