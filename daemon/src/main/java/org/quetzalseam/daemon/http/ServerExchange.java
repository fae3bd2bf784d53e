package org.quetzalseam.daemon.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URI;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import org.jspecify.annotations.Nullable;

/** One request and its answer. Used by one thread at a time, except where stated otherwise. */
// A write or close that fails is reported through the channel's pipeline, where it is handled.
@SuppressWarnings("FutureReturnValueIgnored")
public final class ServerExchange implements AutoCloseable {
    /** The status before an answer has begun. */
    public static final int NOT_ANSWERED = -1;
    /** Length of an answer without a body. */
    public static final long NO_BODY = -1;
    /** Length of an answer whose body is sent in chunks, as it is written. */
    public static final long IN_CHUNKS = 0;

    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final Channel channel;
    private final HttpRequest request;
    private final URI uri;
    private final InputStream requestBody;
    private final UnreadAnswers unread;
    private final Runnable onEnd;
    private final HttpHeaders responseHeaders = new DefaultHttpHeaders();
    private volatile @Nullable OutputStream responseBody;
    private volatile boolean keepsConnection;
    private volatile int status = NOT_ANSWERED;

    ServerExchange(
            Channel channel,
            HttpRequest request,
            URI uri,
            InputStream requestBody,
            UnreadAnswers unread,
            Runnable onEnd) {
        this.unread = unread;
        this.channel = channel;
        this.request = request;
        this.uri = uri;
        this.requestBody = requestBody;
        this.onEnd = onEnd;
    }

    /** Returns whether the connection may carry another exchange. May be called by any thread. */
    boolean keepsConnection() {
        return keepsConnection;
    }

    /** Closes the connection without an end of the answer. May be called by any thread. */
    void abort() {
        channel.close();
    }

    /** Returns the request's method, as it was sent. */
    public String method() {
        return request.method().name();
    }

    /** Returns the request's target. */
    public URI uri() {
        return uri;
    }

    /** Returns the request's headers. */
    public HttpHeaders requestHeaders() {
        return request.headers();
    }

    /** Returns the request's body; reading it fails if it stops before its stated end. */
    public InputStream requestBody() {
        return requestBody;
    }

    /** Returns the headers of the answer, which may be changed until it begins. */
    public HttpHeaders responseHeaders() {
        return responseHeaders;
    }

    /** Returns the status of the answer, or {@link #NOT_ANSWERED}. */
    public int status() {
        return status;
    }

    /**
     * Begins the answer.
     *
     * @param code the status
     * @param length the length of the body in bytes, {@link #IN_CHUNKS} or {@link #NO_BODY}
     */
    public void begin(int code, long length) throws IOException {
        if (status != NOT_ANSWERED) {
            throw new IOException("expected one answer, found a second one with status " + code);
        }
        status = code;
        boolean toHead = request.method().equals(HttpMethod.HEAD);
        boolean bodiless = code < FIRST_FINAL_STATUS || code == NO_CONTENT || code == NOT_MODIFIED;
        channel.write(head(code, length, bodiless, toHead));
        boolean empty = length == NO_BODY || bodiless || toHead;
        ResponseBody body = new ResponseBody(
                channel, empty ? 0 : length == IN_CHUNKS ? ResponseBody.UNKNOWN_LENGTH : length, unread, onEnd);
        responseBody = body;
        if (empty) {
            body.close();
        } else {
            channel.flush();
        }
    }

    private HttpResponse head(int code, long length, boolean bodiless, boolean toHead) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(code));
        response.headers()
                .set(
                        HttpHeaderNames.DATE,
                        DateTimeFormatter.RFC_1123_DATE_TIME.format(ZonedDateTime.now(ZoneOffset.UTC)))
                .setAll(responseHeaders);
        boolean chunked =
                length == IN_CHUNKS && !bodiless && request.protocolVersion().isKeepAliveDefault();
        boolean delimited = length != IN_CHUNKS || bodiless || chunked;
        boolean closing = response.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
        keepsConnection = HttpUtil.isKeepAlive(request) && delimited && !closing;
        if (!keepsConnection) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (chunked) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else if (!bodiless && length != IN_CHUNKS && !toHead) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, Math.max(0, length));
        }
        return response;
    }

    /** Returns the body of an answer that has begun. */
    public OutputStream responseBody() {
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
}
