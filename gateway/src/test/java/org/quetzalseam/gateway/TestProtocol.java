package org.quetzalseam.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.generation.TokenDemand;
import org.quetzalseam.core.limits.StatedLimit;
import org.quetzalseam.gateway.protocol.EngineLoad;
import org.quetzalseam.gateway.protocol.Forwarding;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.protocol.ReplyFacts;
import org.quetzalseam.gateway.protocol.RequestFacts;

/** A minimal protocol for tests, with its own header names and paths. */
public final class TestProtocol implements Protocol {
    @Override
    public String idHeader() {
        return "x-id";
    }

    @Override
    public RequestFacts facts(HttpHeaders headers) {
        String tokens = headers.get("x-tokens");
        TokenDemand demand = tokens == null ? null : new TokenDemand(Integer.parseInt(tokens), 500, 200);
        long waitMillis = Long.parseLong(headers.get("x-patience", "5000"));
        return new RequestFacts(
                headers.get("x-id", ""),
                waitMillis,
                demand,
                headers.get("x-resume"),
                headers.get("x-begun-by"),
                headers.getAll("x-part"));
    }

    @Override
    public void rewriteHeaders(HttpHeaders headers, Forwarding forwarding) {
        headers.set("x-endpoint", forwarding.expectedEndpoint());
        if (forwarding.prefillOnly()) {
            headers.set("x-prefill", "1");
        }
        set(headers, "x-kv", forwarding.kvSource());
        set(headers, "x-booking", forwarding.booking());
        set(headers, "x-resume", forwarding.resumeAfter());
    }

    @Override
    public void setTeam(HttpHeaders headers, @Nullable String team) {
        headers.remove("x-team");
        set(headers, "x-team", team);
    }

    private static void set(HttpHeaders headers, String name, @Nullable String value) {
        if (value != null) {
            headers.set(name, value);
        }
    }

    @Override
    public ReplyFacts facts(HttpResponse reply) {
        String limit = reply.headers().get("x-limit");
        return new ReplyFacts(
                reply.headers().contains("x-signature"),
                reply.headers().contains("x-not-run"),
                reply.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST),
                limit == null ? StatedLimit.NONE : StatedLimit.of(Double.parseDouble(limit)));
    }

    @Override
    public void setRetryAfter(HttpHeaders headers, long millis) {
        headers.set("x-come-back", millis);
    }

    @Override
    public FullHttpRequest bookMemory(int tokens, long millis) {
        return call(HttpMethod.POST, "/control/reserve?tokens=" + tokens);
    }

    @Override
    public Optional<String> bookingId(String body) {
        return body.isEmpty() ? Optional.empty() : Optional.of(body);
    }

    @Override
    public FullHttpRequest releaseBooking(String reservation) {
        return call(HttpMethod.DELETE, "/control/release/" + reservation);
    }

    @Override
    public Optional<String> kvHandle(String body) {
        return body.isEmpty() ? Optional.empty() : Optional.of(body);
    }

    @Override
    public String kvSource(String address, String handle) {
        return handle;
    }

    @Override
    public FullHttpRequest dropKv(String handle) {
        return call(HttpMethod.DELETE, "/control/kv/" + handle);
    }

    @Override
    public FullHttpRequest reportLoad(String expectedEndpoint) {
        return call(HttpMethod.GET, "/control/load");
    }

    @Override
    public Optional<EngineLoad> load(String body) {
        String[] startAndOrders = body.split(" ", 2);
        return startAndOrders.length < 2
                ? Optional.empty()
                : Optional.of(new EngineLoad(
                        Long.parseLong(startAndOrders[0]), 0, 0, 0, 1_000, Long.parseLong(startAndOrders[1]), false));
    }

    @Override
    public FullHttpRequest changeStage(
            Stage stage, String holder, long epoch, long ordersSeen, String expectedEndpoint) {
        return call(HttpMethod.POST, "/control/stage/" + stage + "?orders=" + ordersSeen);
    }

    private static FullHttpRequest call(HttpMethod method, String path) {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.EMPTY_BUFFER);
    }
}
