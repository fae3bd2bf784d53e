package org.quetzalseam.wire.connection;

import com.google.common.flogger.FluentLogger;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.quetzalseam.wire.FrameCodec;
import org.quetzalseam.wire.MessageCodec;
import org.quetzalseam.wire.WireException;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.runtime.Threads;

/**
 * A connection after its handshake: one thread reads, one writes. Thread-safe.
 *
 * <p>{@link #send} never blocks. A peer that doesn't read fills the bounded queue, and then the connection is closed:
 * what it carried is settled as after any other loss.
 */
public final class Connection {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_QUEUED_FRAMES = 8192;
    private static final long MAX_QUEUED_BYTES = 16L << 20;
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(6);
    private static final byte[] END_MARKER = new byte[0];

    /** Receives what happens on a connection. Calls come from the connection's own threads, one message at a time. */
    public interface Listener {
        /** Takes a message. */
        void received(Connection connection, Message message);

        /** Learns, once, that the connection is closed. */
        void closed(Connection connection);
    }

    private final Socket socket;
    private final DataInputStream in;
    private final OutputStream out;
    private final Handshake.Peer peer;
    private final Listener listener;
    private final BlockingQueue<byte[]> queue = new LinkedBlockingQueue<>(MAX_QUEUED_FRAMES);
    private final AtomicLong queuedBytes = new AtomicLong();
    private final AtomicBoolean closed = new AtomicBoolean();
    private final CompletableFuture<Void> whenClosed = new CompletableFuture<>();
    private volatile boolean closingGracefully;

    Connection(Socket socket, DataInputStream in, OutputStream out, Handshake.Peer peer, Listener listener)
            throws IOException {
        this.socket = socket;
        this.in = in;
        this.out = out;
        this.peer = peer;
        this.listener = listener;
        socket.setSoTimeout((int) READ_TIMEOUT.toMillis());
    }

    static DataInputStream input(Socket socket) throws IOException {
        return new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    }

    static OutputStream output(Socket socket) throws IOException {
        return new BufferedOutputStream(socket.getOutputStream());
    }

    void start() {
        String name = peer.identity().name();
        Threads.daemon("read-" + name, this::readAll).start();
        Threads.daemon("write-" + name, this::writeAll).start();
    }

    /** Returns who is at the other end. */
    public Identity peer() {
        return peer.identity();
    }

    /** Returns the number of this connection within the opener's incarnation. */
    public long number() {
        return peer.connection();
    }

    /** Returns whether the connection is still open, as far as is known. */
    public boolean isOpen() {
        return !closed.get();
    }

    /** Returns what completes when the connection is closed. */
    CompletableFuture<Void> whenClosed() {
        return whenClosed;
    }

    /** Queues a message. Returns false when the connection is closed; true doesn't mean that the peer received it. */
    public boolean send(Message message) {
        byte[] frame = MessageCodec.encode(message);
        if (closed.get() || closingGracefully) {
            return false;
        }
        long bytes = queuedBytes.addAndGet(frame.length);
        if (bytes > MAX_QUEUED_BYTES || !queue.offer(frame)) {
            logger.atWarning().log(
                    "event=peer-too-slow peer=%s queued_bytes=%d",
                    peer.identity().name(), bytes);
            close();
            return false;
        }
        return true;
    }

    private void writeAll() {
        try {
            while (!closed.get()) {
                if (writeQueued(queue.take())) {
                    socket.shutdownOutput();
                    return;
                }
            }
        } catch (IOException e) {
            logger.atFine().log(
                    "event=write-failed peer=%s reason=%s", peer.identity().name(), e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
    }

    /** Writes all that is queued. Returns whether the end was among it, wherever it stood: it is queued once. */
    private boolean writeQueued(byte[] first) throws IOException {
        boolean ended = false;
        for (byte[] frame = first; frame != null; frame = queue.poll()) {
            if (frame == END_MARKER) {
                ended = true;
            } else {
                queuedBytes.addAndGet(-frame.length);
                FrameCodec.write(out, frame);
            }
        }
        out.flush();
        return ended;
    }

    private void readAll() {
        try {
            byte[] frame = FrameCodec.read(in, FrameCodec.MAX_FRAME_BYTES);
            while (frame != null && !closed.get()) {
                listener.received(this, MessageCodec.decode(frame));
                frame = FrameCodec.read(in, FrameCodec.MAX_FRAME_BYTES);
            }
        } catch (IOException e) {
            logger.atFine().log(
                    "event=read-failed peer=%s reason=%s", peer.identity().name(), e.getMessage());
        } catch (WireException e) {
            logger.atWarning().log(
                    "event=bad-frame peer=%s code=%s reason=%s", peer.identity().name(), e.code(), e.getMessage());
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log(
                    "event=message-failed peer=%s", peer.identity().name());
        }
        close();
    }

    /**
     * Ends the connection in order: all that was sent before is written, and then the end; nothing is sent from now on. It is
     * closed when the peer has read the end and closes too. Closing at once instead would drop what is still queued, and an
     * unread message of the peer would make the kernel discard what has been written.
     */
    public void closeGracefully() {
        closingGracefully = true;
        if (!queue.offer(END_MARKER)) {
            close();
        }
    }

    /** Closes the connection at once; what is still queued is dropped. The listener is told once, however often this is called. */
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        queue.clear();
        queue.offer(END_MARKER);
        Sockets.close(socket);
        listener.closed(this);
        whenClosed.complete(null);
    }
}
