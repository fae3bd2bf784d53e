/** The messages between the processes of quetzalseam, one record each. */
@NullMarked
package org.quetzalseam.wire.message;

import org.jspecify.annotations.NullMarked;
