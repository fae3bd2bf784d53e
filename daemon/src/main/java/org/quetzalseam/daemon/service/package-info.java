/** The client of a plain HTTP service. */
@NullMarked
package org.quetzalseam.daemon.service;

import org.jspecify.annotations.NullMarked;
