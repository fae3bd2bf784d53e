package org.quetzalseam.gateway.http;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.http.CallFailure.Kind;
import org.quetzalseam.gateway.runtime.ThrownErrors;
import org.quetzalseam.http.ReplyDecoder;

/**
 * A client connection that carries one exchange at a time. Used on its event loop only.
 *
 * <p>A reply is accepted only for the request whose id it carries. A reply to another request, which a faulty endpoint may send
 * late or twice, is skipped. So that such a reply never fits a later sending of its own request, a connection carries each id once
 * ({@link #hasCarried}). Data that arrives while no exchange is in progress closes the connection, because it belongs to no request.
 */
// A write or close that fails is reported through the channel's pipeline, where it is handled.
@SuppressWarnings("FutureReturnValueIgnored")
public final class HttpConnection extends ChannelInboundHandlerAdapter {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private final String idHeader;
    private final ReplyDecoder decoder;
    private final ReplyBounds bounds;
    private final Consumer<HttpConnection> onIdle;
    private final Consumer<HttpConnection> onClosed;
    private final CarriedIds carriedIds = new CarriedIds();
    private final ExchangeTimes times = new ExchangeTimes();
    private @Nullable Channel channel;
    private @Nullable ReplyListener listener;
    private @Nullable String requestId;
    private @Nullable ChannelFuture written;
    private @Nullable HttpResponse head;
    private boolean skipping;
    private boolean reusable;
    private boolean awaitingRelease;
    private boolean closing;
    private boolean closedByPeer;
    private boolean unsolicited;
    private boolean receivedStrayBytes;
    private boolean lostAfterIdle;

    /**
     * Creates a handler for a new channel.
     *
     * @param idHeader the header in which a reply repeats the request's id
     * @param decoder decodes the connection's replies
     * @param memory bounds the replies of all connections
     * @param onIdle called when the connection can carry another exchange
     * @param onClosed called once, when the connection has closed
     */
    HttpConnection(
            String idHeader,
            ReplyDecoder decoder,
            ReplyMemory memory,
            Consumer<HttpConnection> onIdle,
            Consumer<HttpConnection> onClosed) {
        this.idHeader = idHeader;
        this.decoder = decoder;
        this.bounds = new ReplyBounds(memory);
        this.onIdle = onIdle;
        this.onClosed = onClosed;
    }

    private Channel channel() {
        Channel open = channel;
        if (open == null) {
            throw new IllegalStateException("the handler has not been added to a channel yet");
        }
        return open;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /**
     * Sends a request.
     *
     * @param request the request's head
     * @param body the request's body, which is released when it has been written
     * @param id the id that the reply must carry, or null if any reply is accepted
     * @param replies receives the reply
     */
    public void exchange(HttpRequest request, ByteBuf body, @Nullable String id, ReplyListener replies) {
        if (listener != null) {
            throw new IllegalStateException("an exchange is in progress");
        }
        listener = replies;
        bounds.begin();
        requestId = id;
        decoder.expectReplyTo(request.method());
        if (id != null) {
            carriedIds.add(id);
        }
        head = null;
        skipping = false;
        awaitingRelease = false;
        reusable = true;
        times.recordSent();
        Channel open = channel();
        open.write(request);
        written = open.writeAndFlush(new DefaultLastHttpContent(body));
    }

    /**
     * Returns whether the connection has carried a request with an id. A repeated reply to that request would be taken for the reply to
     * the next one with its id.
     */
    public boolean hasCarried(String id) {
        return carriedIds.contains(id);
    }

    /**
     * Returns whether the connection was lost before the head of the reply to a request that was sent after an idle time, because
     * the other side no longer kept the connection.
     */
    public boolean lostAfterIdle() {
        return lostAfterIdle;
    }

    /** Returns whether the other side closed or reset the connection. */
    public boolean closedByPeer() {
        return closedByPeer;
    }

    /** Returns whether bytes have arrived that were no reply to the request in progress, after the connection had carried another. */
    public boolean receivedStrayBytes() {
        return receivedStrayBytes;
    }

    /** Returns when the connection was opened, in monotonic nanoseconds. */
    public long openedAt() {
        return times.openedAt();
    }

    /** Returns how long the connection was idle before the latest request, in nanoseconds; 0 for its first request. */
    public long idleNanosBeforeRequest() {
        return times.idleNanosBeforeRequest();
    }

    /** Returns when the last exchange ended, in monotonic nanoseconds. */
    public long idleSince() {
        return times.idleSince();
    }

    /**
     * Returns how long the other side keeps an idle connection, in nanoseconds, or {@link Long#MAX_VALUE} if it has not stated
     * it.
     */
    public long peerIdleTimeoutNanos() {
        return times.peerIdleTimeoutNanos();
    }

    /** Returns whether the connection is open. */
    public boolean open() {
        return channel().isActive();
    }

    /** Pauses or resumes reading, so that a slow reader of the reply slows down its sender. */
    public void setAutoRead(boolean autoRead) {
        channel().config().setAutoRead(autoRead);
    }

    /** Abandons the exchange, if there is one, and closes the connection. The listener is not called any more. */
    public void abort() {
        listener = null;
        reusable = false;
        close();
    }

    private void close() {
        closing = true;
        bounds.end();
        channel().close();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        times.recordOpened();
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ReplyListener current = listener;
        if (current == null) {
            unsolicited = true;
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            fail(Kind.MALFORMED, "not a reply: " + part.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse response) {
            receiveHead(response, current);
        }
        if (message instanceof HttpContent content) {
            receiveContent(content);
        }
    }

    private void receiveHead(HttpResponse response, ReplyListener current) {
        boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational || isForAnotherRequest(response)) {
            skipping = true;
            decoder.skipMessage();
            failIf(bounds.skipHead());
            return;
        }
        int ids = response.headers().getAll(idHeader).size();
        if (ids > 1) {
            fail(Kind.MALFORMED, "expected one request id, found " + ids);
            return;
        }
        if (response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
            fail(Kind.MALFORMED, "the body is encoded");
            return;
        }
        head = response;
        reusable = HttpUtil.isKeepAlive(response) && isFramed(response) && !carriedIds.full();
        times.recordHead(response);
        current.head(response);
        if (listener == current) {
            failIf(bounds.head(response, current.maxBodyBytes()));
        }
    }

    private void failIf(@Nullable String problem) {
        if (problem != null) {
            fail(bounds.tooLong() ? Kind.TOO_LONG : Kind.MALFORMED, problem);
        }
    }

    private boolean isForAnotherRequest(HttpResponse response) {
        String expected = requestId;
        if (expected == null) {
            return false;
        }
        String actual = response.headers().get(idHeader);
        if (expected.equals(actual)) {
            return false;
        }
        receivedStrayBytes = true;
        logger.atInfo().log(
                "event=reply-skipped peer=%s request=%s reply_to=%s status=%d",
                peer(), expected, actual, response.status().code());
        return true;
    }

    private static boolean isFramed(HttpResponse response) {
        return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
    }

    private void receiveContent(HttpContent content) {
        ReplyListener current = listener;
        if (skipping || current == null || head == null) {
            String problem = bounds.skipBody(content.content().readableBytes());
            content.release();
            skipping = skipping && !(content instanceof LastHttpContent);
            failIf(problem);
            return;
        }
        String problem = bounds.body(content.content().readableBytes());
        if (problem != null) {
            content.release();
            failIf(problem);
            return;
        }
        if (content.content().isReadable()) {
            current.body(content.content());
        } else {
            content.release();
        }
        if (content instanceof LastHttpContent && listener == current) {
            if (mayBeCutShort(head)) {
                fail(Kind.CONNECTION_LOST, "closed while the request was being written");
            } else {
                complete(current);
            }
        }
    }

    /**
     * Returns whether a reply that ends with its connection may lack its end. If a write fails, the channel is closed before what the
     * endpoint has sent is read to its end, and the decoder can't tell that from a regular close.
     */
    private boolean mayBeCutShort(HttpResponse reply) {
        ChannelFuture request = written;
        return !isFramed(reply) && (request == null || !request.isSuccess());
    }

    private void complete(ReplyListener current) {
        listener = null;
        bounds.end();
        awaitingRelease = true;
        times.recordIdle();
        if (!reusable) {
            close();
        }
        current.completed();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        // Not earlier, because data that follows the reply in the same read must first be detected as unsolicited.
        if (listener == null && !closing && (unsolicited || !decoder.betweenMessages())) {
            closeUnsolicited();
        } else if (awaitingRelease && listener == null && reusable) {
            awaitingRelease = false;
            releaseWhenWritten();
        }
    }

    private void closeUnsolicited() {
        receivedStrayBytes = true;
        logger.atInfo().log("event=unasked-reply peer=%s %s", peer(), times.describe());
        abort();
    }

    private void releaseWhenWritten() {
        ChannelFuture request = written;
        if (request == null || request.isSuccess()) {
            onIdle.accept(this);
            return;
        }
        // The endpoint replied before it had read the complete request, the rest of which must still be written here.
        request.addListener(done -> {
            if (done.isSuccess() && channel().isActive()) {
                onIdle.accept(this);
            } else {
                close();
            }
        });
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            ThrownErrors.record("reply", cause);
        }
        closedByPeer |= !closing && cause instanceof IOException;
        fail(Kind.CONNECTION_LOST, String.valueOf(cause.getMessage()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closedByPeer |= !closing;
        fail(Kind.CONNECTION_LOST, "closed by the peer");
        onClosed.accept(this);
    }

    private void fail(Kind kind, String detail) {
        reusable = false;
        awaitingRelease = false;
        ReplyListener current = listener;
        listener = null;
        receivedStrayBytes |= current != null && head == null && times.usedBefore() && kind == Kind.MALFORMED;
        lostAfterIdle |=
                current != null && head == null && times.idleNanosBeforeRequest() > 0 && kind == Kind.CONNECTION_LOST;
        close();
        if (current != null) {
            logMalformed(kind, detail);
            current.failed(new CallFailure(kind, detail));
        }
    }

    /** States what tells a repeated reply from one that is malformed by itself: it comes over a connection that was used before. */
    private void logMalformed(Kind kind, String detail) {
        if (kind == Kind.MALFORMED || kind == Kind.TOO_LONG) {
            logger.atInfo().log(
                    "event=reply-malformed peer=%s request=%s %s head=%s detail=\"%s\"",
                    peer(), requestId, times.describe(), head != null, detail);
        }
    }

    private String peer() {
        return String.valueOf(channel().remoteAddress());
    }
}
