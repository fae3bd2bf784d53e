/** Catalogue changes: they are proposed, reviewed, accepted and put in force through the platform's store. */
@NullMarked
package org.quetzalseam.daemon.catalogue;

import org.jspecify.annotations.NullMarked;
