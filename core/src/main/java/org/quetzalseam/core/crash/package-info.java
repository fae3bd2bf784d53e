/** Which requests have crashed endpoints, as far as the entries of a site have reported. */
@NullMarked
package org.quetzalseam.core.crash;

import org.jspecify.annotations.NullMarked;
