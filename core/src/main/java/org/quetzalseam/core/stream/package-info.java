/** Which endpoint and build began a stream, and where the stream may go on. */
@NullMarked
package org.quetzalseam.core.stream;

import org.jspecify.annotations.NullMarked;
