/** The platform's store as a peer: listing and watching objects. */
@NullMarked
package org.quetzalseam.gateway.store;

import org.jspecify.annotations.NullMarked;
