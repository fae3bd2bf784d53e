package org.quetzalseam.gateway.http;

/** Is told when a limit on connections or on their memory is reached. */
@FunctionalInterface
public interface LimitListener {
    /** A listener that ignores what it is told. */
    LimitListener NONE = limit -> {};

    /** Called when a limit closes a connection or refuses a request; limits are of a fixed set. */
    void reached(String limit);
}
