/** A complete deployment in one JVM, with stand-ins for the platform, the engines and the services. */
@NullMarked
package org.quetzalseam.cli.site;

import org.jspecify.annotations.NullMarked;
