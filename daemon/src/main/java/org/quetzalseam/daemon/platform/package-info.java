/** Clients of the platform: its object store and its list of VMs. */
@NullMarked
package org.quetzalseam.daemon.platform;

import org.jspecify.annotations.NullMarked;
