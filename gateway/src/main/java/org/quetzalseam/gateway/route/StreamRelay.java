package org.quetzalseam.gateway.route;

import io.netty.buffer.ByteBuf;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.endpoint.EndpointCall;

/**
 * Forwards the complete events of a stream to its caller as they arrive, no faster than the caller reads. Used on the event
 * loop only.
 */
final class StreamRelay {
    private final Exchange exchange;
    private final RunLog log;
    private final EventStreamParser events = new EventStreamParser();
    private final StreamPace pace = new StreamPace();

    StreamRelay(Exchange exchange, RunLog log) {
        this.exchange = exchange;
        this.log = log;
    }

    /** Returns the parser of the stream, which counts the events that were forwarded. */
    EventStreamParser events() {
        return events;
    }

    /**
     * Returns the id of the last event that the caller has received from this request or an earlier one; null if there is
     * none.
     */
    @Nullable
    String resumePoint() {
        String last = events.lastId();
        return last == null ? exchange.facts().resumesAfter() : last;
    }

    /** Returns the pace at which the events arrived. */
    StreamPace pace() {
        return pace;
    }

    /** Forwards the events that a piece of the stream completes. {@code from} is the call that received the piece. */
    void forward(ByteBuf piece, @Nullable EndpointCall from) {
        boolean first = events.eventCount() == 0;
        ByteBuf ready = events.append(piece);
        if (!ready.isReadable()) {
            ready.release();
            return;
        }
        pace.record(exchange.ageMillis());
        if (first) {
            log.firstEvent();
        }
        exchange.writeBody(ready);
        if (from != null && !exchange.writable()) {
            from.setAutoRead(false);
        }
    }
}
