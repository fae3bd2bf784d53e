package org.quetzalseam.core.catalogue;

/**
 * The destination of the requests of a catalogue entry. Immutable.
 *
 * @param kind a model behind prefill and decode pools, or a plain service
 * @param name name of the model or service
 */
public record Route(Kind kind, String name) {
    /** Kind of destination. */
    public enum Kind {
        /** A model, served by a prefill pool and a decode pool. */
        MODEL,
        /** A plain service. */
        SERVICE
    }

    @Override
    public String toString() {
        return (kind == Kind.MODEL ? "model " : "service ") + name;
    }
}
