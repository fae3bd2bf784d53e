/** The client side of the platform's object store: lists, watches, and objects that cannot be read. */
@NullMarked
package org.quetzalseam.gateway.store;

import org.jspecify.annotations.NullMarked;
