package org.quetzalseam.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * The body of a request as it arrives. A body that stops before its stated end fails to be read. The connection adds to it on its event
 * loop; one thread reads.
 */
final class RequestBody extends InputStream {
    /** Bytes that may wait to be read before the connection pauses. */
    private static final int MAX_WAITING_BYTES = 1024 * 1024;

    private final Channel channel;
    private final Deque<byte[]> parts = new ArrayDeque<>();
    private int readOfFirst;
    private int waitingBytes;
    private boolean finished;
    private @Nullable String failure;
    private boolean refused;
    private final RequestMemory memory;

    RequestBody(Channel channel, RequestMemory memory) {
        this.channel = channel;
        this.memory = memory;
    }

    synchronized void add(ByteBuf part) {
        if (!part.isReadable()) {
            return;
        }
        if (refused || !memory.tryReserve(part.readableBytes())) {
            refuse();
            return;
        }
        parts.add(ByteBufUtil.getBytes(part));
        waitingBytes += part.readableBytes();
        if (waitingBytes > MAX_WAITING_BYTES) {
            channel.config().setAutoRead(false);
        }
        notifyAll();
    }

    /** Drops what has been received, and all that follows. */
    private void refuse() {
        refused = true;
        parts.clear();
        readOfFirst = 0;
        waitingBytes = 0;
        notifyAll();
    }

    synchronized void finish() {
        finished = true;
        notifyAll();
    }

    synchronized void fail(String reason) {
        if (!finished && failure == null) {
            failure = reason;
            notifyAll();
        }
    }

    @Override
    public int read() throws IOException {
        byte[] single = new byte[1];
        return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
    }

    @Override
    public synchronized int read(byte[] target, int offset, int length) throws IOException {
        if (length == 0) {
            return 0;
        }
        awaitPart();
        if (refused) {
            throw new NoMemoryException("the requests in progress use the memory for bodies: " + memory.describe());
        }
        byte[] first = parts.peek();
        if (first == null) {
            if (failure != null) {
                throw new IOException(failure);
            }
            return -1;
        }
        int count = Math.min(length, first.length - readOfFirst);
        System.arraycopy(first, readOfFirst, target, offset, count);
        readOfFirst += count;
        if (readOfFirst == first.length) {
            parts.remove();
            readOfFirst = 0;
        }
        resumeAfter(count);
        return count;
    }

    private void resumeAfter(int count) {
        boolean paused = waitingBytes > MAX_WAITING_BYTES;
        waitingBytes -= count;
        if (paused && waitingBytes <= MAX_WAITING_BYTES) {
            channel.config().setAutoRead(true);
        }
    }

    private void awaitPart() throws IOException {
        while (parts.isEmpty() && !finished && !refused && failure == null) {
            try {
                wait();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new InterruptedIOException("interrupted while the body was read");
            }
        }
    }
}
