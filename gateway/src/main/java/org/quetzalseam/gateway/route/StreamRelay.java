package org.quetzalseam.gateway.route;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.endpoint.EndpointCall;
import org.quetzalseam.gateway.http.CallFailure;

/**
 * Forwards the complete events of a stream to its caller as they arrive, no faster than the caller reads. Used on the event
 * loop only.
 */
final class StreamRelay {
    private final Exchange exchange;
    private final RunLog log;
    private final EventStreamParser events = new EventStreamParser();
    private final StreamPace pace = new StreamPace();
    private boolean framed = true;

    StreamRelay(Exchange exchange, RunLog log) {
        this.exchange = exchange;
        this.log = log;
    }

    /** Begins the stream, or goes on with it, as an engine's answer begins. */
    void begin(HttpResponse head) {
        framed = ReplyFraming.statesItsEnd(head);
        if (!exchange.begun()) {
            exchange.begin(head);
        }
    }

    /** Returns whether the engine's answer states where it ends; if not, it ends with its connection. */
    boolean framed() {
        return framed;
    }

    /** Returns why the stream can't have ended where the engine's answer did, or null if it can. */
    @Nullable
    CallFailure incompleteEnd() {
        // An answer that ends with its connection ends there too when its engine does.
        CallFailure.Kind kind = framed ? CallFailure.Kind.MALFORMED : CallFailure.Kind.CONNECTION_LOST;
        if (events.hasIncompleteEvent()) {
            return new CallFailure(kind, "the stream ends within an event");
        }
        return !framed && resumePoint() == null
                ? new CallFailure(kind, "the stream ends before its first event")
                : null;
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
