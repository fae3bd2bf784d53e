/** Decisions about generations: how much memory to book, which prompts wait, and which engines prefill or decode. */
@NullMarked
package org.quetzalseam.core.generation;

import org.jspecify.annotations.NullMarked;
