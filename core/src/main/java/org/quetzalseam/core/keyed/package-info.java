/** Records of idempotency keys, kept by the endpoint that runs the requests with these keys. */
@NullMarked
package org.quetzalseam.core.keyed;

import org.jspecify.annotations.NullMarked;
