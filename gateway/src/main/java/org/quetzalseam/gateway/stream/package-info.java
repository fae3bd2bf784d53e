/** What the entries of a site know together of streams that callers may take up. */
@NullMarked
package org.quetzalseam.gateway.stream;

import org.jspecify.annotations.NullMarked;
