/** Which engines read prompts and which decode: one entry at a time orders it, under a lease in the store. */
@NullMarked
package org.quetzalseam.gateway.stage;

import org.jspecify.annotations.NullMarked;
