package org.quetzalseam.gateway.route;

import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.endpoint.Directory;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.protocol.RequestFacts;
import org.quetzalseam.gateway.stream.SharedOrigins;

/**
 * Binds one stream to the build whose endpoint begins it, from the head of its answer on: the caller may have received
 * events from then on, and may not receive events of another build after them. A stream that is taken up is bound from the
 * start. Used on the event loop only.
 */
final class StreamBinding {
    /** How long a record outlasts the time at which its caller gives up, in milliseconds: clocks and messages are not exact. */
    private static final long RECORD_MARGIN_MILLIS = 1_000;
    /** Longest time for which a record is kept, in milliseconds, whatever the caller states; also if it states nothing. */
    private static final long MAX_RECORD_MILLIS = 60_000;

    private final Directory directory;
    private final SharedOrigins origins;
    private final Exchange exchange;
    private final RouteRule route;
    private @Nullable StreamOrigin origin;
    private boolean recorded;

    /** Creates the binding of a stream that began at the given origin, or of a new one if that is null. */
    StreamBinding(
            Directory directory,
            SharedOrigins origins,
            Exchange exchange,
            RouteRule route,
            @Nullable StreamOrigin origin) {
        this.directory = directory;
        this.origins = origins;
        this.exchange = exchange;
        this.route = route;
        this.origin = origin;
    }

    /** Returns where the stream began; null before it has begun. */
    @Nullable
    StreamOrigin origin() {
        return origin;
    }

    /** Returns whether there is an endpoint now that may run the stream, or the rest of it. */
    boolean canRun() {
        StreamOrigin began = origin;
        return began == null || directory.hasEndpointFor(began);
    }

    /** Records that the answer of an endpoint has begun; the record of a stream that is taken up is renewed. */
    void recordBegun(Endpoint endpoint) {
        StreamOrigin began = origin == null ? StreamOrigin.at(endpoint.member()) : origin;
        origin = began;
        RequestFacts facts = exchange.facts();
        String attempt = facts.takesStreamUp() ? facts.begunBy() : facts.id();
        if (route.resumable() && !recorded && attempt != null && !attempt.isEmpty()) {
            origins.record(attempt, began, keepMillis(facts));
        }
        recorded = true;
    }

    private long keepMillis(RequestFacts facts) {
        long callerLeftMillis = facts.callerTimeoutMillis() - exchange.ageMillis();
        return Math.max(0, Math.min(callerLeftMillis, MAX_RECORD_MILLIS)) + RECORD_MARGIN_MILLIS;
    }
}
