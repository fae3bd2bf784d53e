package org.quetzalseam.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the requests of a connection one at a time: the next one only when {@link #next} is called, which its user does when the one
 * before it has been answered and the answer has been written. What a client sends ahead stays undecoded, and reading stops once there is
 * more of it than a client needs to send; until then the end of the connection is noticed.
 *
 * <p>A head is decoded only when it is whole, because decoded header lines can take many times the memory of their bytes. Trailers are
 * dropped. Used on the connection's event loop only.
 */
public final class RequestDecoder extends HttpRequestDecoder {
    /** Undecoded bytes at which reading stops while a request is in progress. */
    static final int MOST_BYTES_AHEAD = 16 * 1024;
    /** The decoder counts neither line ends nor the colon of a header, so a head within its limits may be this many times as long. */
    private static final int RAW_FACTOR = 2;

    private final int longestHead;
    private final HeadScanner head = new HeadScanner();
    private final ArrivalTimes arrivals = new ArrivalTimes();
    private @Nullable ChannelHandlerContext context;
    private long received;
    private long arrivedAt;
    private HttpMethod method = HttpMethod.GET;
    private boolean inMessage;
    private boolean waiting;
    private boolean resuming;
    private boolean discarding;

    /** Creates a decoder for a new connection, which decodes the first request without being asked. */
    public RequestDecoder(HttpDecoderConfig config) {
        super(config.clone().setTrailersFactory(DroppedHeaders.FACTORY));
        longestHead = RAW_FACTOR * (config.getMaxInitialLineLength() + config.getMaxHeaderSize());
    }

    /** Returns the method of the request that was decoded last. */
    HttpMethod method() {
        return method;
    }

    /** Returns how many bytes have been received and not decoded. */
    public int undecodedBytes() {
        return actualReadableBytes();
    }

    /** Returns when the last byte of the request that was decoded last arrived, in monotonic nanoseconds. */
    public long arrivedAt() {
        return arrivedAt;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Has the next request decoded, in a task of its own, so that other connections have their turn between two requests of this one. */
    public void next() {
        ChannelHandlerContext ctx = context;
        if (ctx != null && waiting && !resuming) {
            resuming = true;
            ctx.channel().eventLoop().execute(() -> resume(ctx));
        }
    }

    private void resume(ChannelHandlerContext ctx) {
        resuming = false;
        if (ctx.isRemoved() || !ctx.channel().isActive()) {
            return;
        }
        waiting = false;
        try {
            channelRead(ctx, Unpooled.EMPTY_BUFFER);
        } catch (Exception e) {
            ctx.fireExceptionCaught(e);
        }
        if (actualReadableBytes() < MOST_BYTES_AHEAD) {
            ctx.channel().config().setAutoRead(true);
        }
    }

    /** Discards all that has not been decoded and all that follows. */
    public void discardRest() {
        discarding = true;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (discarding) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof ByteBuf bytes) {
            received += bytes.readableBytes();
        }
        super.channelRead(ctx, message);
        if (actualReadableBytes() > 0) {
            arrivals.add(received, System.nanoTime());
        }
        if (waiting && actualReadableBytes() >= MOST_BYTES_AHEAD) {
            ctx.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (ctx.channel().config().isAutoRead()) {
            super.channelReadComplete(ctx);
        } else {
            // The overridden method would read on, because the bytes that it was given made no message.
            discardSomeReadBytes();
            ctx.fireChannelReadComplete();
        }
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (discarding) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        if (waiting || !(inMessage || headIsDue(buffer))) {
            return;
        }
        int decodedBefore = out.size();
        super.decode(ctx, buffer, out);
        for (Object decoded : out.subList(decodedBefore, out.size())) {
            if (decoded instanceof HttpRequest request) {
                inMessage = true;
                method = request.method();
            }
            if (decoded instanceof LastHttpContent) {
                messageEnded(buffer);
            }
        }
    }

    /** Returns whether what has arrived is to be decoded: a whole head, one that is too long, or what stands before a head. */
    private boolean headIsDue(ByteBuf buffer) {
        head.scan(buffer);
        if (head.whole() || !head.begun() || buffer.readableBytes() > longestHead) {
            head.reset();
            return true;
        }
        return false;
    }

    private void messageEnded(ByteBuf buffer) {
        inMessage = false;
        waiting = true;
        head.reset();
        arrivedAt = arrivals.at(received - buffer.readableBytes(), System.nanoTime());
    }
}
