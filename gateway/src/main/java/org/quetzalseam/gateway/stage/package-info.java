/** Assignment of engines to the prefill or decode stage, ordered by one entry at a time under a lease in the store. */
@NullMarked
package org.quetzalseam.gateway.stage;

import org.jspecify.annotations.NullMarked;
