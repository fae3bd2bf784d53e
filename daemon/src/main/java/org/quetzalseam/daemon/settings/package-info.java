/** Settings of one process, read from INI text. */
@NullMarked
package org.quetzalseam.daemon.settings;

import org.jspecify.annotations.NullMarked;
