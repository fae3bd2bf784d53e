package org.quetzalseam.gateway.route;

import io.netty.buffer.ByteBuf;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.endpoint.EndpointCall;

/** Passes a stream's whole events on to its caller as they come, no faster than the caller reads. Used on the event loop only. */
final class StreamRelay {
    private final Exchange exchange;
    private final RunLog log;
    private final EventStreamParser events = new EventStreamParser();
    private final StreamPace pace = new StreamPace();

    StreamRelay(Exchange exchange, RunLog log) {
        this.exchange = exchange;
        this.log = log;
    }

    /** Returns the events that have been passed on. */
    EventStreamParser events() {
        return events;
    }

    /** Returns the last event that the caller has, from here or from before; null where there is none. */
    @Nullable
    String resumePoint() {
        String last = events.lastId();
        return last == null ? exchange.facts().resumesAfter() : last;
    }

    /** Returns the pace at which they came. */
    StreamPace pace() {
        return pace;
    }

    /** Takes a piece of the stream that a call brings. */
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
