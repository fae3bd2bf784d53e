/** The endpoints that serve: who they are, which of them take work, and how well they do. */
@NullMarked
package org.quetzalseam.core.fleet;

import org.jspecify.annotations.NullMarked;
