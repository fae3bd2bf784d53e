/** The HTTP interface for operators: health, metrics, status and explanations. */
@NullMarked
package org.quetzalseam.daemon.operator;

import org.jspecify.annotations.NullMarked;
