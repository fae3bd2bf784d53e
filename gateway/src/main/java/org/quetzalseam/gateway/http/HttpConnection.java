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

/**
 * A client's connection that carries one exchange at a time. Used on its event loop only.
 *
 * <p>A reply counts only for the request whose id it bears: a reply to another request, which a faulty endpoint may send
 * late or twice, is skipped. Bytes that come while nothing is asked end the connection, as they belong to no request.
 */
// A write or close that fails is reported through the channel's pipeline, where it is handled.
@SuppressWarnings("FutureReturnValueIgnored")
public final class HttpConnection extends ChannelInboundHandlerAdapter {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final String idHeader;
    private final Consumer<HttpConnection> onIdle;
    private final Consumer<HttpConnection> onClosed;
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
    private long openedAt;
    private long idleSince;
    private long peerIdleTimeoutNanos = Long.MAX_VALUE;
    private long idleNanosBeforeRequest;
    private boolean lostAfterIdle;

    /**
     * Creates a handler for a new channel.
     *
     * @param idHeader the header that a reply repeats the request's id in
     * @param onIdle called when the connection can carry another exchange
     * @param onClosed called once, when the connection has ended
     */
    HttpConnection(String idHeader, Consumer<HttpConnection> onIdle, Consumer<HttpConnection> onClosed) {
        this.idHeader = idHeader;
        this.onIdle = onIdle;
        this.onClosed = onClosed;
    }

    private Channel channel() {
        Channel open = channel;
        if (open == null) {
            throw new IllegalStateException("the connection isn't registered yet");
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
     * @param request its head
     * @param body its body, which is released when it has been written
     * @param id the id that the reply must bear, or null where any reply is the right one
     * @param replies takes the reply
     */
    public void exchange(HttpRequest request, ByteBuf body, @Nullable String id, ReplyListener replies) {
        if (listener != null) {
            throw new IllegalStateException("an exchange is in progress");
        }
        listener = replies;
        requestId = id;
        head = null;
        skipping = false;
        awaitingRelease = false;
        reusable = true;
        idleNanosBeforeRequest = idleSince == 0 ? 0 : System.nanoTime() - idleSince;
        Channel open = channel();
        open.write(request);
        written = open.writeAndFlush(new DefaultLastHttpContent(body));
    }

    /** Returns whether it ended before any answer to a request that came after a rest: its other side had forgotten it. */
    public boolean lostAfterIdle() {
        return lostAfterIdle;
    }

    /** Returns whether it was the other side that ended it. */
    public boolean closedByPeer() {
        return closedByPeer;
    }

    /** Returns when it was opened, in monotonic nanoseconds. */
    public long openedAt() {
        return openedAt;
    }

    /** Returns how long it had rested before the newest request, in nanoseconds. */
    public long idleNanosBeforeRequest() {
        return idleNanosBeforeRequest;
    }

    /** Returns when the last exchange ended, in monotonic nanoseconds. */
    public long idleSince() {
        return idleSince;
    }

    /** Returns how long the other side keeps the connection when it is idle, as far as it has said, in nanoseconds. */
    public long peerIdleTimeoutNanos() {
        return peerIdleTimeoutNanos;
    }

    /** Returns whether the connection is open. */
    public boolean open() {
        return channel().isActive();
    }

    /** Stops or goes on reading, so that a slow reader of the reply slows its sender. */
    public void setAutoRead(boolean wanted) {
        channel().config().setAutoRead(wanted);
    }

    /** Gives up the exchange, if there is one, and closes the connection. The listener hears nothing more. */
    public void abort() {
        listener = null;
        reusable = false;
        close();
    }

    private void close() {
        closing = true;
        channel().close();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        openedAt = System.nanoTime();
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            fail(Kind.MALFORMED, "not a reply: " + part.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse response) {
            receiveHead(response);
        }
        if (message instanceof HttpContent content) {
            receiveContent(content);
        }
    }

    private void receiveHead(HttpResponse response) {
        if (listener == null) {
            logger.atInfo().log(
                    "event=unasked-reply peer=%s status=%d",
                    peer(), response.status().code());
            abort();
            return;
        }
        boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational || isForAnotherRequest(response)) {
            skipping = true;
            return;
        }
        if (response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
            fail(Kind.MALFORMED, "the body is encoded");
            return;
        }
        head = response;
        reusable = HttpUtil.isKeepAlive(response) && isFramed(response);
        readIdleTimeout(response);
        listener.head(response);
    }

    private boolean isForAnotherRequest(HttpResponse response) {
        String expected = requestId;
        if (expected == null) {
            return false;
        }
        String got = response.headers().get(idHeader);
        if (expected.equals(got)) {
            return false;
        }
        logger.atInfo().log(
                "event=reply-skipped peer=%s request=%s reply_to=%s status=%d",
                peer(), expected, got, response.status().code());
        return true;
    }

    private static boolean isFramed(HttpResponse response) {
        return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
    }

    private void readIdleTimeout(HttpResponse response) {
        String keepAlive = response.headers().get("Keep-Alive");
        int at = keepAlive == null ? -1 : keepAlive.indexOf("timeout=");
        if (keepAlive == null || at < 0) {
            return;
        }
        int end = at + "timeout=".length();
        long seconds = 0;
        while (end < keepAlive.length() && Character.isDigit(keepAlive.charAt(end))) {
            seconds = seconds * 10 + (keepAlive.charAt(end) - '0');
            end++;
        }
        peerIdleTimeoutNanos = seconds * 1_000_000_000L;
    }

    private void receiveContent(HttpContent content) {
        ReplyListener current = listener;
        if (skipping || current == null || head == null) {
            content.release();
            skipping = skipping && !(content instanceof LastHttpContent);
            return;
        }
        if (content.content().isReadable()) {
            current.body(content.content());
        } else {
            content.release();
        }
        if (content instanceof LastHttpContent && listener == current) {
            complete(current);
        }
    }

    private void complete(ReplyListener current) {
        listener = null;
        awaitingRelease = true;
        idleSince = System.nanoTime();
        if (!reusable) {
            close();
        }
        current.completed();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        // Only now: what came in the same read behind the reply has shown up as bytes that nobody asked for.
        if (awaitingRelease && listener == null && reusable) {
            awaitingRelease = false;
            releaseWhenWritten();
        }
    }

    private void releaseWhenWritten() {
        ChannelFuture request = written;
        if (request == null || request.isSuccess()) {
            onIdle.accept(this);
            return;
        }
        // The endpoint answered before it had read the whole request: the rest of it is still due on this connection.
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
        lostAfterIdle |= current != null && head == null && idleNanosBeforeRequest > 0 && kind == Kind.CONNECTION_LOST;
        close();
        if (current != null) {
            current.failed(new CallFailure(kind, detail));
        }
    }

    private String peer() {
        return String.valueOf(channel().remoteAddress());
    }
}
