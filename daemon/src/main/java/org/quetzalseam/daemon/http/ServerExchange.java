package org.quetzalseam.daemon.http;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpContext;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpPrincipal;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/** One request and its answer. Used by one thread at a time, except where stated otherwise. */
// A write or close that fails is reported through the channel's pipeline, where it is handled.
@SuppressWarnings("FutureReturnValueIgnored")
final class ServerExchange extends HttpExchange {
    private static final int NOT_ANSWERED = -1;
    /** Length given to {@link #sendResponseHeaders} for an answer without a body. */
    private static final long NO_BODY = -1;

    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final Channel channel;
    private final URI uri;
    private final HttpMethod method;
    private final HttpVersion version;
    private final boolean callerKeepsConnection;
    private final Runnable onEnd;
    private final Headers requestHeaders = new Headers();
    private final Headers responseHeaders = new Headers();
    private final Map<String, Object> attributes = new ConcurrentHashMap<>();
    private volatile InputStream requestBody;
    private volatile @Nullable OutputStream responseBody;
    private volatile boolean keepsConnection;
    private volatile int status = NOT_ANSWERED;

    ServerExchange(Channel channel, HttpRequest request, URI uri, InputStream requestBody, Runnable onEnd) {
        this.channel = channel;
        this.uri = uri;
        this.method = request.method();
        this.version = request.protocolVersion();
        this.callerKeepsConnection = HttpUtil.isKeepAlive(request);
        this.requestBody = requestBody;
        this.onEnd = onEnd;
        request.headers().forEach(header -> requestHeaders.add(header.getKey(), header.getValue()));
    }

    /** Returns whether the connection may carry another exchange. May be called by any thread. */
    boolean keepsConnection() {
        return keepsConnection;
    }

    /** Closes the connection without an end of the answer. May be called by any thread. */
    void abort() {
        channel.close();
    }

    @Override
    public void sendResponseHeaders(int code, long length) throws IOException {
        if (status != NOT_ANSWERED) {
            throw new IOException("expected one answer, found a second one with status " + code);
        }
        status = code;
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(code));
        response.headers()
                .set(
                        HttpHeaderNames.DATE,
                        DateTimeFormatter.RFC_1123_DATE_TIME.format(ZonedDateTime.now(ZoneOffset.UTC)));
        responseHeaders.forEach((name, values) -> response.headers().set(name, values));
        boolean bodiless = code < FIRST_FINAL_STATUS || code == NO_CONTENT || code == NOT_MODIFIED;
        boolean chunked = length == 0 && !bodiless && version.isKeepAliveDefault();
        keepsConnection = callerKeepsConnection
                && (length != 0 || bodiless || chunked)
                && !response.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
        if (!keepsConnection) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (chunked) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else if (!bodiless && length != 0 && !method.equals(HttpMethod.HEAD)) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, Math.max(0, length));
        }
        channel.write(response);
        boolean empty = length == NO_BODY || bodiless || method.equals(HttpMethod.HEAD);
        long stated = length == 0 ? ResponseBody.UNKNOWN_LENGTH : length;
        ResponseBody body = new ResponseBody(channel, empty ? 0 : stated, onEnd);
        responseBody = body;
        if (empty) {
            body.close();
        } else {
            channel.flush();
        }
    }

    @Override
    public OutputStream getResponseBody() {
        OutputStream body = responseBody;
        if (body == null) {
            throw new IllegalStateException("expected the headers of the answer before its body");
        }
        return body;
    }

    /** Ends the answer, or closes the connection if there is none or it can't be ended. */
    @Override
    public void close() {
        OutputStream body = responseBody;
        if (body == null) {
            abort();
            return;
        }
        try {
            body.close();
        } catch (IOException e) {
            abort();
        }
    }

    @Override
    public Headers getRequestHeaders() {
        return requestHeaders;
    }

    @Override
    public Headers getResponseHeaders() {
        return responseHeaders;
    }

    @Override
    public URI getRequestURI() {
        return uri;
    }

    @Override
    public String getRequestMethod() {
        return method.name();
    }

    @Override
    public InputStream getRequestBody() {
        return requestBody;
    }

    @Override
    public int getResponseCode() {
        return status;
    }

    @Override
    public InetSocketAddress getRemoteAddress() {
        return (InetSocketAddress) channel.remoteAddress();
    }

    @Override
    public InetSocketAddress getLocalAddress() {
        return (InetSocketAddress) channel.localAddress();
    }

    @Override
    public String getProtocol() {
        return version.text();
    }

    @Override
    public @Nullable Object getAttribute(String name) {
        return attributes.get(name);
    }

    @Override
    public void setAttribute(String name, Object value) {
        attributes.put(name, value);
    }

    @Override
    public void setStreams(@Nullable InputStream input, @Nullable OutputStream output) {
        requestBody = input == null ? requestBody : input;
        responseBody = output == null ? responseBody : output;
    }

    @Override
    public HttpContext getHttpContext() {
        throw new UnsupportedOperationException("handlers are found by path alone");
    }

    @Override
    public @Nullable HttpPrincipal getPrincipal() {
        return null;
    }
}
