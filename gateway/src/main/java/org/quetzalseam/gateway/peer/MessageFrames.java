package org.quetzalseam.gateway.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.jspecify.annotations.Nullable;

/**
 * Splits the bytes of a connection into messages. While it is paused nothing more is read, and what has been read stays undecoded. Used
 * on the connection's event loop only.
 */
final class MessageFrames extends LengthFieldBasedFrameDecoder {
    /** Longest message, in bytes; the longest ones tell of crashes, with all parts of the prompts that were lost. */
    static final int MAX_FRAME_BYTES = 16_384;

    static final int LENGTH_BYTES = 2;

    private boolean paused;

    MessageFrames() {
        super(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    void pause(ChannelHandlerContext ctx) {
        paused = true;
        ctx.channel().config().setAutoRead(false);
    }

    /** Goes on, in a task of its own. */
    void resume(ChannelHandlerContext ctx) {
        if (paused) {
            ctx.channel().eventLoop().execute(() -> decodeKept(ctx.pipeline().context(this)));
        }
    }

    private void decodeKept(@Nullable ChannelHandlerContext ctx) {
        if (ctx == null || !paused) {
            return;
        }
        paused = false;
        try {
            channelRead(ctx, Unpooled.EMPTY_BUFFER);
        } catch (Exception e) {
            ctx.fireExceptionCaught(e);
        }
        if (!paused) {
            ctx.channel().config().setAutoRead(true);
        }
    }

    @Override
    protected @Nullable Object decode(ChannelHandlerContext ctx, ByteBuf in) throws Exception {
        return paused ? null : super.decode(ctx, in);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (paused) {
            // The overridden method would read on, because the bytes that it was given made no message.
            discardSomeReadBytes();
            ctx.fireChannelReadComplete();
        } else {
            super.channelReadComplete(ctx);
        }
    }
}
