/** Requests to endpoints that state how many they take from all entries together. */
@NullMarked
package org.quetzalseam.gateway.limit;

import org.jspecify.annotations.NullMarked;
