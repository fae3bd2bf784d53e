package org.quetzalseam.daemon.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.OutputStream;

/** The body of an answer. A flush returns when the bytes have been handed to the network, or fails. Used by one thread at a time. */
final class ResponseBody extends OutputStream {
    private static final int BUFFER_BYTES = 8 * 1024;
    /** Part of a long text that is written at once, in bytes; after each, it is known that the client reads on. */
    private static final int SLICE_BYTES = 64 * 1024;
    /** Length of a body whose end is not stated in advance. */
    static final long UNKNOWN_LENGTH = -1;

    private final Channel channel;
    private final Runnable onEnd;
    private final UnreadAnswers unread;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private long remaining;
    private boolean closed;

    /**
     * Creates a body whose head has been written.
     *
     * @param channel the connection
     * @param length the stated length in bytes, or {@link #UNKNOWN_LENGTH}
     * @param unread bounds the memory of answers that are being written
     * @param onEnd called on the event loop when all has been written
     */
    ResponseBody(Channel channel, long length, UnreadAnswers unread, Runnable onEnd) {
        this.unread = unread;
        this.channel = channel;
        this.remaining = length;
        this.onEnd = onEnd;
    }

    @Override
    public void write(int single) throws IOException {
        write(new byte[] {(byte) single}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
        if (closed) {
            throw new IOException("the answer has ended");
        }
        if (remaining != UNKNOWN_LENGTH) {
            if (length > remaining) {
                throw new IOException("expected at most " + remaining + " more bytes, found " + length);
            }
            remaining -= length;
        }
        if (length >= SLICE_BYTES) {
            flush();
            writeSlices(bytes, offset, length);
            return;
        }
        buffer.write(bytes, offset, length);
        if (buffer.size() >= BUFFER_BYTES) {
            flush();
        }
    }

    private void writeSlices(byte[] bytes, int offset, int length) throws IOException {
        try {
            for (int written = 0; written < length; written += SLICE_BYTES) {
                unread.holds(channel, length);
                int slice = Math.min(SLICE_BYTES, length - written);
                await(channel.writeAndFlush(
                        new DefaultHttpContent(Unpooled.wrappedBuffer(bytes, offset + written, slice))));
            }
        } finally {
            unread.released(channel);
        }
    }

    @Override
    public void flush() throws IOException {
        if (closed) {
            return;
        }
        if (buffer.size() == 0) {
            channel.flush();
            return;
        }
        byte[] bytes = buffer.toByteArray();
        buffer.reset();
        await(channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes))));
    }

    @Override
    public void close() throws IOException {
        if (closed) {
            return;
        }
        if (remaining > 0) {
            closed = true;
            throw new IOException("expected " + remaining + " more bytes before the end of the answer");
        }
        flush();
        closed = true;
        ChannelFuture last = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        last.addListener(written -> onEnd.run());
        await(last);
    }

    private static void await(ChannelFuture write) throws IOException {
        try {
            write.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            ChannelFuture unused = write.channel().close();
            throw new InterruptedIOException("interrupted while the answer was written");
        }
        if (!write.isSuccess()) {
            throw new IOException("the answer could not be written", write.cause());
        }
    }
}
