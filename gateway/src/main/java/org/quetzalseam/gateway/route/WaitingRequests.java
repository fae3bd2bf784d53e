package org.quetzalseam.gateway.route;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.quetzalseam.gateway.caller.Exchange;

/** Holds requests briefly until the state that decides their route is known. Used on the event loop only. */
final class WaitingRequests {
    /** Longest wait, in milliseconds: the time of several responses of the store. */
    private static final long MAX_WAIT_MILLIS = 800;
    /** Number of requests that may wait at the same time. */
    private static final int MAX_WAITING = 200;

    private final RunContext context;
    private final Consumer<Exchange> refuse;
    private final List<Exchange> waiting = new ArrayList<>();

    /** Creates an empty queue; {@code refuse} answers a request that cannot wait, or cannot wait any longer. */
    WaitingRequests(RunContext context, Consumer<Exchange> refuse) {
        this.context = context;
        this.refuse = refuse;
    }

    /** Queues a request, or refuses it if the queue is full or the process is draining. */
    void add(Exchange exchange) {
        if (waiting.size() >= MAX_WAITING || context.draining()) {
            refuse.accept(exchange);
            return;
        }
        waiting.add(exchange);
        exchange.onCallerDisconnected(() -> waiting.remove(exchange));
        context.after(MAX_WAIT_MILLIS, () -> {
            if (waiting.remove(exchange)) {
                refuse.accept(exchange);
            }
        });
    }

    /** Removes and returns all requests. */
    List<Exchange> removeAll() {
        List<Exchange> removed = List.copyOf(waiting);
        waiting.clear();
        return removed;
    }

    /** Removes and refuses all requests. */
    void refuseAll() {
        removeAll().forEach(refuse);
    }
}
