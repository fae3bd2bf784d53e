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
 * A connection after its handshake. One thread reads from it and one writes to it. Thread-safe.
 *
 * <p>{@link #send} never blocks. If a peer does not read, the bounded queue fills and the connection is closed; attempts
 * in flight on it are then handled as after any other loss of a connection.
 *
 * <p>A connection that was accepted reads no further message while much of what it has answered lies unread. One that was opened reads
 * on, because the two sides would otherwise wait for each other.
 */
public final class Connection {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_QUEUED_FRAMES = 8192;
    private static final long MAX_QUEUED_BYTES = 16L << 20;
    /** Queued bytes at which an accepted connection stops to read. */
    static final long MAX_UNREAD_BYTES = 1L << 20;

    private static final Duration READ_TIMEOUT = Duration.ofSeconds(6);
    private static final long PROGRESS_CHECK_MILLIS = 500;
    private static final byte[] END_MARKER = new byte[0];

    /** Receives the events of a connection. Messages are delivered one at a time, on the connection's reading thread. */
    public interface Listener {
        /** Handles a received message. */
        void received(Connection connection, Message message);

        /** Handles the close of the connection. Called exactly once, on the thread that closes it. */
        void closed(Connection connection);
    }

    private final Socket socket;
    private final DataInputStream in;
    private final OutputStream out;
    private final Handshake.Peer peer;
    private final Listener listener;
    private final BlockingQueue<byte[]> queue = new LinkedBlockingQueue<>(MAX_QUEUED_FRAMES);
    private final AtomicLong queuedBytes = new AtomicLong();
    private final QueueMemory memory = QueueMemory.ofProcess();
    private final boolean accepted;
    private final AtomicBoolean closed = new AtomicBoolean();
    private final CompletableFuture<Void> whenClosed = new CompletableFuture<>();
    private final Object progress = new Object();
    /** Number of frames that have left the queue. */
    private long removals;

    private volatile boolean closingGracefully;

    Connection(
            Socket socket,
            DataInputStream in,
            OutputStream out,
            Handshake.Peer peer,
            boolean accepted,
            Listener listener)
            throws IOException {
        this.socket = socket;
        this.in = in;
        this.out = out;
        this.peer = peer;
        this.accepted = accepted;
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
        memory.opened(this);
        if (closed.get()) {
            memory.closed(this);
        }
        String name = peer.identity().name();
        Threads.daemon("read-" + name, this::readAll).start();
        Threads.daemon("write-" + name, this::writeAll).start();
    }

    /** Returns the identity of the peer. */
    public Identity peer() {
        return peer.identity();
    }

    /** Returns the number of this connection, increasing within the opener's incarnation. */
    public long number() {
        return peer.connection();
    }

    /** Returns whether the connection is open. A loss that has not been detected yet is not taken into account. */
    public boolean isOpen() {
        return !closed.get();
    }

    /** Returns a future that completes when the connection is closed. */
    CompletableFuture<Void> whenClosed() {
        return whenClosed;
    }

    /**
     * Queues a message. Returns false if the connection is closed or closing, or is closed now because the queue is
     * full; true does not mean that the peer receives the message.
     */
    public boolean send(Message message) {
        byte[] frame = MessageCodec.encode(message);
        if (closed.get() || closingGracefully) {
            return false;
        }
        long bytes = queuedBytes.addAndGet(frame.length);
        memory.add(frame.length);
        if (bytes > MAX_QUEUED_BYTES || !queue.offer(frame)) {
            logger.atWarning().log(
                    "event=peer-too-slow peer=%s queued_bytes=%d",
                    peer.identity().name(), bytes);
            removed(frame.length);
            close();
            return false;
        }
        if (closed.get()) {
            // The close may have dropped the queue before this frame was added.
            dropQueued();
        }
        return true;
    }

    private void writeAll() {
        boolean outputEnded = false;
        try {
            while (!closed.get() && !outputEnded) {
                outputEnded = writeQueued(queue.take());
            }
            if (outputEnded) {
                socket.shutdownOutput();
            }
        } catch (IOException e) {
            logger.atFine().log(
                    "event=write-failed peer=%s reason=%s", peer.identity().name(), e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            // Also after an error such as a full heap: the peer notices at once only if the connection ends with this
            // thread.
            if (!outputEnded) {
                close();
            }
        }
    }

    /**
     * Writes all queued frames. Returns whether the end marker was among them, at whatever position: it is
     * queued only once, so a missed marker would leave the connection open.
     */
    private boolean writeQueued(byte[] first) throws IOException {
        boolean endReached = false;
        for (byte[] frame = first; frame != null; frame = queue.poll()) {
            if (frame == END_MARKER) {
                endReached = true;
            } else {
                try {
                    FrameCodec.write(out, frame);
                } finally {
                    removed(frame.length);
                }
            }
        }
        out.flush();
        return endReached;
    }

    private void removed(int bytes) {
        queuedBytes.addAndGet(-bytes);
        memory.remove(bytes);
        synchronized (progress) {
            removals++;
            progress.notifyAll();
        }
    }

    /** Returns how many bytes wait to be written on all connections of the process. */
    public static long queuedBytesOfProcess() {
        return QueueMemory.ofProcess().used();
    }

    /** Returns how many bytes wait to be written. */
    long queuedBytes() {
        return queuedBytes.get();
    }

    /** Waits until the peer has read enough of what it was sent. Fails if it reads nothing for the read timeout. */
    private void awaitProgress() throws IOException, InterruptedException {
        synchronized (progress) {
            long before = removals;
            long since = System.nanoTime();
            while (queuedBytes.get() > MAX_UNREAD_BYTES && !closed.get()) {
                progress.wait(PROGRESS_CHECK_MILLIS);
                if (removals != before) {
                    before = removals;
                    since = System.nanoTime();
                } else if (System.nanoTime() - since > READ_TIMEOUT.toNanos()) {
                    throw new IOException("expected the peer to read some of " + queuedBytes + " queued bytes within "
                            + READ_TIMEOUT.toSeconds() + " s, found that it read nothing");
                }
            }
        }
    }

    private void readAll() {
        try {
            byte[] frame = FrameCodec.read(in, FrameCodec.MAX_FRAME_BYTES);
            while (frame != null && !closed.get()) {
                listener.received(this, MessageCodec.decode(frame));
                if (accepted) {
                    awaitProgress();
                }
                frame = FrameCodec.read(in, FrameCodec.MAX_FRAME_BYTES);
            }
        } catch (IOException e) {
            logger.atFine().log(
                    "event=read-failed peer=%s reason=%s", peer.identity().name(), e.getMessage());
        } catch (WireException e) {
            logger.atWarning().log(
                    "event=bad-frame peer=%s code=%s reason=%s", peer.identity().name(), e.code(), e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log(
                    "event=message-failed peer=%s", peer.identity().name());
        } finally {
            close();
        }
    }

    /**
     * Closes the connection after all queued messages have been written; later messages are not sent. It is closed once the
     * peer has read the end of the stream and closes its side too. Closing at once instead would drop the queued messages,
     * and an unread message from the peer would make the kernel discard what has already been written.
     */
    public void closeGracefully() {
        closingGracefully = true;
        if (!queue.offer(END_MARKER)) {
            close();
        }
    }

    /**
     * Closes the connection at once and drops queued messages. The listener is notified only once, however often this is
     * called.
     */
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        memory.closed(this);
        dropQueued();
        Sockets.close(socket);
        try {
            listener.closed(this);
        } finally {
            whenClosed.complete(null);
        }
    }

    /** Empties the queue but for a mark that ends the writing thread. */
    private void dropQueued() {
        for (byte[] frame = queue.poll(); frame != null; frame = queue.poll()) {
            if (frame != END_MARKER) {
                removed(frame.length);
            }
        }
        queue.offer(END_MARKER);
    }
}
