package org.quetzalseam.gateway.caller;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.access.Team;
import org.quetzalseam.gateway.protocol.RequestFacts;

/**
 * A request of a caller and the answer to it. Used on the event loop only.
 *
 * <p>An answer is sent either at once or in parts: head, body parts, end. An answer that cannot be completed is aborted: its
 * connection closes before the end of the body, so that the answer never looks complete.
 */
// A write or close that fails is reported through the channel's pipeline, where it is handled.
@SuppressWarnings("FutureReturnValueIgnored")
public final class Exchange {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Channel channel;
    private final HttpRequest request;
    private final ByteBuf body;
    private final RequestFacts facts;
    private final long arrivedAt;
    private final Runnable onEnd;
    private final boolean keepAlive;
    private boolean closing;
    private @Nullable String fingerprint;
    private boolean begun;
    private boolean chunked;
    private boolean ended;
    private long endedAt;
    private @Nullable Runnable onCallerDisconnected;
    private @Nullable Runnable onWritable;
    private @Nullable Runnable onShutdown;
    private @Nullable Runnable onNotRun;
    private Runnable onReleased = () -> {};
    private @Nullable Team team;
    private boolean identified;

    Exchange(Channel channel, HttpRequest request, ByteBuf body, RequestFacts facts, long arrivedAt, Runnable onEnd) {
        this.channel = channel;
        this.request = request;
        this.body = body;
        this.facts = facts;
        this.arrivedAt = arrivedAt;
        this.onEnd = onEnd;
        this.keepAlive = HttpUtil.isKeepAlive(request);
    }

    /** Returns the request's head as the caller sent it. */
    public HttpRequest request() {
        return request;
    }

    /** Returns a view of the complete body, which the caller of this method releases. */
    public ByteBuf body() {
        return body.retainedDuplicate();
    }

    /** Returns the facts that the protocol reads from the request's headers. */
    public RequestFacts facts() {
        return facts;
    }

    /**
     * Returns a digest that is the same for each repetition of this request, whatever its id. It is computed by the first call,
     * which must come before the request has ended.
     */
    public String fingerprint() {
        String known = fingerprint;
        if (known == null) {
            known = RequestFingerprint.of(request, facts.sharedParts(), body);
            fingerprint = known;
        }
        return known;
    }

    /** Returns the address that the request came from, without its port; other callers may share it. */
    public String callerHost() {
        return channel.remoteAddress() instanceof InetSocketAddress address ? address.getHostString() : "";
    }

    /** Returns when the request was complete, in monotonic nanoseconds. */
    public long arrivedAt() {
        return arrivedAt;
    }

    /** Returns how long ago the request was complete, in milliseconds. */
    public long ageMillis() {
        return (System.nanoTime() - arrivedAt) / 1_000_000;
    }

    /** Returns whether the answer has ended or the caller has disconnected. */
    public boolean ended() {
        return ended;
    }

    /** Returns when the answer ended, in monotonic nanoseconds; the caller may still be reading it. */
    long endedAt() {
        return endedAt;
    }

    /** Returns whether an answer has begun. */
    public boolean begun() {
        return begun;
    }

    /** Sets the callback that runs once if the caller disconnects before the answer ends. */
    public void onCallerDisconnected(Runnable call) {
        onCallerDisconnected = call;
    }

    /** Sets the callback that runs whenever the connection becomes writable again because the caller has read enough. */
    public void onWritable(Runnable call) {
        onWritable = call;
    }

    /** Sets the callback that runs if the process ends before the answer does; it must end the answer at once. */
    public void onShutdown(Runnable call) {
        onShutdown = call;
    }

    /**
     * Records that the credentials of the request have been evaluated, so that they are not forwarded.
     *
     * @param identifiedTeam the team that makes the request, or null if it needs none
     */
    public void identify(@Nullable Team identifiedTeam) {
        identified = true;
        team = identifiedTeam;
    }

    /** Returns whether the credentials of the request have been evaluated. */
    public boolean identified() {
        return identified;
    }

    /** Returns the name of the team that makes the request, or null if it needs none. */
    public @Nullable String team() {
        Team known = team;
        return known == null ? null : known.name();
    }

    /** Returns the priority of the team that makes the request; 0, the most urgent, if it needs none. */
    public int teamPriority() {
        Team known = team;
        return known == null ? 0 : known.priority();
    }

    /** Sets the callback that runs once if the request is refused without having run. */
    public void onNotRun(Runnable call) {
        onNotRun = call;
    }

    /** Records that the request is refused and has not run and will not run. */
    public void recordNotRun() {
        Runnable call = onNotRun;
        onNotRun = null;
        if (call != null && !ended) {
            call.run();
        }
    }

    /** Returns whether the caller reads as fast as the answer is written. */
    public boolean writable() {
        return channel.isWritable();
    }

    /** Closes the connection after this answer. */
    void closeAfterAnswer() {
        closing = true;
    }

    void writabilityChanged() {
        Runnable call = onWritable;
        if (call != null && channel.isWritable()) {
            call.run();
        }
    }

    void callerDisconnected() {
        if (ended) {
            return;
        }
        markEnded();
        Runnable call = onCallerDisconnected;
        if (call != null) {
            call.run();
        }
        finish();
    }

    /** Sends a complete answer with an endpoint's status and headers. Takes ownership of the body. */
    public void answer(HttpResponse head, ByteBuf content) {
        if (ended) {
            content.release();
            return;
        }
        DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), content);
        answer.headers().set(head.headers());
        HopByHopHeaders.remove(answer.headers());
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        writeComplete(answer);
    }

    /** Sends an answer of this process: a status with a short text and additional headers. */
    public void answer(HttpResponseStatus status, String text, HttpHeaders extraHeaders) {
        if (ended) {
            return;
        }
        ByteBuf content = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
        DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        answer.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        answer.headers().add(extraHeaders);
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        writeComplete(answer);
    }

    private void writeComplete(DefaultFullHttpResponse answer) {
        begun = true;
        boolean close = setConnectionHeader(answer.headers());
        markEnded();
        ChannelFuture written = channel.writeAndFlush(answer);
        finishWhenWritten(written, close);
    }

    private boolean setConnectionHeader(HttpHeaders headers) {
        boolean close = closing || !keepAlive;
        if (close) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return close;
    }

    private void finishWhenWritten(ChannelFuture written, boolean close) {
        if (close) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        // The request stays in progress until its answer is written, so that neither the next request nor the end of
        // the process interferes.
        written.addListener(done -> finish());
    }

    /** Begins an answer whose body follows in parts. */
    public void begin(HttpResponse head) {
        if (ended) {
            return;
        }
        begun = true;
        HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
        answer.headers().set(head.headers());
        HopByHopHeaders.remove(answer.headers());
        answer.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        chunked = request.protocolVersion().isKeepAliveDefault();
        if (chunked) {
            answer.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            closing = true;
        }
        closing = setConnectionHeader(answer.headers());
        channel.write(answer);
    }

    /** Sends a part of the body. Takes ownership of the buffer. */
    public void writeBody(ByteBuf part) {
        if (ended) {
            part.release();
            return;
        }
        channel.writeAndFlush(new DefaultHttpContent(part));
    }

    /** Ends the body and so completes the answer. */
    public void end() {
        if (ended) {
            return;
        }
        markEnded();
        ChannelFuture written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        finishWhenWritten(written, closing);
    }

    /**
     * Aborts the answer by closing the connection.
     *
     * @param why the reason, for the log
     */
    public void abort(String why) {
        if (ended) {
            return;
        }
        logger.atInfo().log("event=answer-cut request=%s age_ms=%d why=%s", facts.id(), ageMillis(), why);
        markEnded();
        if (begun && !chunked && channel.isActive()) {
            // The end of the connection marks the end of this body. A reset cannot be mistaken for it.
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
        finish();
    }

    /** Discards a request that was never routed. */
    void discard() {
        markEnded();
        releaseBody();
    }

    /** Sets the callback that runs once the head and the body are not needed any more. */
    void onReleased(Runnable call) {
        onReleased = call;
    }

    private void releaseBody() {
        body.release();
        onReleased.run();
    }

    private void markEnded() {
        ended = true;
        endedAt = System.nanoTime();
    }

    /** Ends the answer because the process ends: the shutdown callback may still send one; otherwise it is aborted. */
    void endForShutdown() {
        if (ended) {
            logger.atWarning().log(
                    "event=cut-by-stop request=%s age_ms=%d answer_begun=true unread=true", facts.id(), ageMillis());
            return;
        }
        logger.atWarning().log(
                "event=cut-by-stop request=%s age_ms=%d answer_begun=%s", facts.id(), ageMillis(), begun);
        Runnable call = onShutdown;
        if (call != null) {
            call.run();
        }
        abort("the process stops");
    }

    private void finish() {
        releaseBody();
        onEnd.run();
    }
}
