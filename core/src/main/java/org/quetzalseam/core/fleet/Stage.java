package org.quetzalseam.core.fleet;

/** The part of a generation that an endpoint performs. */
public enum Stage {
    /** Complete requests, as a plain service. */
    WHOLE,
    /** Prefills prompts and transfers their KV cache. */
    PREFILL,
    /** Generates tokens. */
    DECODE
}
