/** Teams, their API keys and their allowances. */
@NullMarked
package org.quetzalseam.core.access;

import org.jspecify.annotations.NullMarked;
