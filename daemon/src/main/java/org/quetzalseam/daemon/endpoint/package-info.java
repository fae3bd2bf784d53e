/** The endpoint role: admits attempts to one engine or service and runs them. */
@NullMarked
package org.quetzalseam.daemon.endpoint;

import org.jspecify.annotations.NullMarked;
