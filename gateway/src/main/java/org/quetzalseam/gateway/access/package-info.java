/** Decides which team a request belongs to, and whether the team may ask for it now. */
@NullMarked
package org.quetzalseam.gateway.access;

import org.jspecify.annotations.NullMarked;
