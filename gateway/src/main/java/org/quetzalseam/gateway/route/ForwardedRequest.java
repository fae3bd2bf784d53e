package org.quetzalseam.gateway.route;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.caller.HopByHopHeaders;
import org.quetzalseam.gateway.protocol.Forwarding;
import org.quetzalseam.gateway.protocol.Protocol;

/** A caller's request as forwarded to endpoints, with the time during which an answer is of use. */
final class ForwardedRequest {
    private final Exchange exchange;
    private final Protocol protocol;
    private final long deadlineMillis;

    ForwardedRequest(Exchange exchange, Protocol protocol, RouteRule route) {
        this.exchange = exchange;
        this.protocol = protocol;
        this.deadlineMillis = Math.min(exchange.facts().callerTimeoutMillis(), route.timeoutMillis());
    }

    /** Returns how long an answer is still of use, in milliseconds; negative after the deadline. */
    long remainingMillis() {
        return deadlineMillis - exchange.ageMillis();
    }

    /** Returns the request head to send: the caller's headers, with those that the entry adds. */
    HttpRequest head(Forwarding forwarding) {
        HttpRequest head = new DefaultHttpRequest(
                HttpVersion.HTTP_1_1,
                exchange.request().method(),
                exchange.request().uri());
        head.headers().set(exchange.request().headers());
        HopByHopHeaders.remove(head.headers());
        protocol.rewriteHeaders(head.headers(), forwarding);
        protocol.setTeam(head.headers(), exchange.team());
        if (exchange.identified()) {
            head.headers().remove(HttpHeaderNames.AUTHORIZATION);
        }
        return head;
    }
}
