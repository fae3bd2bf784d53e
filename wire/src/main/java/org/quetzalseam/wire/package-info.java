/** The protocol between the processes of quetzalseam: the codecs of frames and messages, and their errors. */
@NullMarked
package org.quetzalseam.wire;

import org.jspecify.annotations.NullMarked;
