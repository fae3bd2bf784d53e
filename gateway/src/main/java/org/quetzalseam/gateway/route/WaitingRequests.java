package org.quetzalseam.gateway.route;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.quetzalseam.gateway.caller.Exchange;

/** Requests that wait briefly for what their routes depend on. Used on the event loop only. */
final class WaitingRequests {
    /** Longest wait, in milliseconds: several answers of the store. */
    private static final long MAX_WAIT_MILLIS = 800;
    /** Requests that may wait. */
    private static final int MAX_WAITING = 200;

    private final RunContext context;
    private final Consumer<Exchange> refuse;
    private final List<Exchange> waiting = new ArrayList<>();

    /** Creates an empty line; {@code refuse} answers a request that can't wait, or can't any longer. */
    WaitingRequests(RunContext context, Consumer<Exchange> refuse) {
        this.context = context;
        this.refuse = refuse;
    }

    /** Lets a request wait, unless too many do or the process is leaving. */
    void add(Exchange exchange) {
        if (waiting.size() >= MAX_WAITING || context.draining()) {
            refuse.accept(exchange);
            return;
        }
        waiting.add(exchange);
        exchange.whenGone(() -> waiting.remove(exchange));
        context.after(MAX_WAIT_MILLIS, () -> {
            if (waiting.remove(exchange)) {
                refuse.accept(exchange);
            }
        });
    }

    /** Takes all out. */
    List<Exchange> removeAll() {
        List<Exchange> removed = List.copyOf(waiting);
        waiting.clear();
        return removed;
    }

    /** Refuses all. */
    void refuseAll() {
        removeAll().forEach(refuse);
    }
}
