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
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.protocol.RequestFacts;

/**
 * One request of a caller and the answer to it. Used on the event loop only.
 *
 * <p>An answer is given whole, or begun, continued and ended. One that can't be ended is cut: its connection closes before
 * the end of the body, so that it never looks complete.
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
    private boolean begun;
    private boolean chunked;
    private boolean ended;
    private long endedAt;
    private @Nullable Runnable onCallerDisconnected;
    private @Nullable Runnable onWritable;
    private @Nullable Runnable onShutdown;

    Exchange(Channel channel, HttpRequest request, ByteBuf body, RequestFacts facts, Runnable onEnd) {
        this.channel = channel;
        this.request = request;
        this.body = body;
        this.facts = facts;
        this.arrivedAt = System.nanoTime();
        this.onEnd = onEnd;
        this.keepAlive = HttpUtil.isKeepAlive(request);
    }

    /** Returns the request's head as the caller sent it. */
    public HttpRequest request() {
        return request;
    }

    /** Returns a view of the whole body; the taker releases it. */
    public ByteBuf body() {
        return body.retainedDuplicate();
    }

    /** Returns what the request says of itself. */
    public RequestFacts facts() {
        return facts;
    }

    /** Returns when the request was whole, in monotonic nanoseconds. */
    public long arrivedAt() {
        return arrivedAt;
    }

    /** Returns how long ago the request was whole, in milliseconds. */
    public long ageMillis() {
        return (System.nanoTime() - arrivedAt) / 1_000_000;
    }

    /** Returns whether the answer is over, or the caller gone. */
    public boolean ended() {
        return ended;
    }

    /** Returns when the answer was over, in monotonic nanoseconds; the caller may still be reading it. */
    long endedAt() {
        return endedAt;
    }

    /** Returns whether the beginning of an answer has been given. */
    public boolean begun() {
        return begun;
    }

    /** Sets what is called once if the caller leaves before the end of the answer. */
    public void onCallerDisconnected(Runnable call) {
        onCallerDisconnected = call;
    }

    /** Sets what is called whenever the caller has taken what was written. */
    public void onWritable(Runnable call) {
        onWritable = call;
    }

    /** Sets what is called if the process ends before the answer does; it has to end the answer at once. */
    public void onShutdown(Runnable call) {
        onShutdown = call;
    }

    /** Returns whether the caller takes what is written as fast as it comes. */
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

    /** Gives a whole answer with an endpoint's status and headers. Takes the body over. */
    public void answer(HttpResponse head, ByteBuf whole) {
        if (ended) {
            whole.release();
            return;
        }
        DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), whole);
        answer.headers().set(head.headers());
        HopByHopHeaders.remove(answer.headers());
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, whole.readableBytes());
        writeComplete(answer);
    }

    /** Gives an answer of this process: a status with a short text. */
    public void answer(HttpResponseStatus status, String text, HttpHeaders more) {
        if (ended) {
            return;
        }
        ByteBuf content = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
        DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        answer.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        answer.headers().add(more);
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
        // Until it is written the request is under way: neither the process nor the next request may come between.
        written.addListener(done -> finish());
    }

    /** Begins an answer whose body follows in pieces. */
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

    /** Gives a piece of the body and takes it over. */
    public void writeBody(ByteBuf piece) {
        if (ended) {
            piece.release();
            return;
        }
        channel.writeAndFlush(new DefaultHttpContent(piece));
    }

    /** Ends the body: the answer is complete. */
    public void end() {
        if (ended) {
            return;
        }
        markEnded();
        ChannelFuture written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        finishWhenWritten(written, closing);
    }

    /** Breaks off an answer that was begun. */
    public void abort(String why) {
        if (ended) {
            return;
        }
        logger.atInfo().log("event=answer-cut request=%s age_ms=%d why=%s", facts.id(), ageMillis(), why);
        markEnded();
        if (begun && !chunked && channel.isActive()) {
            // Only the connection's end ends this body: a reset can't be taken for it.
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
        finish();
    }

    /** Drops a request that has never been begun. */
    void discard() {
        markEnded();
        body.release();
    }

    private void markEnded() {
        ended = true;
        endedAt = System.nanoTime();
    }

    /** The process ends: the caller gets the truest answer that there is by now. */
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
        body.release();
        onEnd.run();
    }
}
