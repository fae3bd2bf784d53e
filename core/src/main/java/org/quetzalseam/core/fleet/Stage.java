package org.quetzalseam.core.fleet;

/** The part of a generation that an endpoint takes. */
public enum Stage {
    /** Whole requests: a plain service. */
    WHOLE,
    /** Reads prompts and hands their KV cache on. */
    PREFILL,
    /** Makes tokens. */
    DECODE
}
