package org.quetzalseam.standins.client;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.Iterator;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that send bytes on their connections as fast as these are taken, and never read. One thread serves all connections.
 * Thread-safe.
 */
public final class NonReadingClients implements AutoCloseable {
    /** So small that little of what a server answers leaves its own buffers, in bytes. */
    private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;
    /** Least number of bytes that are offered at once. */
    private static final int BATCH_BYTES = 32 * 1024;
    /** Time without progress after which a connection counts as one from which the server does not read on, in nanoseconds. */
    private static final long STALL_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long SELECT_MILLIS = 50;

    private final InetSocketAddress target;
    private final ByteBuffer batch;
    private final long bytesEach;
    private final Selector selector;
    private final Thread thread;
    private final CountDownLatch settled = new CountDownLatch(1);
    private final AtomicLong sent = new AtomicLong();
    private final AtomicInteger closedByServer = new AtomicInteger();
    private volatile boolean stopped;
    private int undecided;

    /** What one connection has sent. */
    private static final class Client {
        private final ByteBuffer batch;
        private long remaining;
        private long progressAt = System.nanoTime();
        private boolean done;

        Client(ByteBuffer batch, long bytes) {
            this.batch = batch;
            this.remaining = bytes;
        }
    }

    /**
     * Opens connections that send at once.
     *
     * @param target the server's address
     * @param connections the number of connections
     * @param text what each sends again and again
     * @param bytesEach the number of bytes after which a connection sends no more; it stays open
     */
    public NonReadingClients(InetSocketAddress target, int connections, String text, long bytesEach) {
        this(target, connections, text.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1), bytesEach);
    }

    /** Opens connections that send bytes. */
    public NonReadingClients(InetSocketAddress target, int connections, byte[] bytes, long bytesEach) {
        this.target = target;
        this.bytesEach = bytesEach;
        this.batch = repeated(bytes);
        this.undecided = connections;
        try {
            selector = Selector.open();
            for (int i = 0; i < connections; i++) {
                connect();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        thread = new Thread(this::run, "non-reading-clients");
        thread.setDaemon(true);
        thread.start();
    }

    private static ByteBuffer repeated(byte[] bytes) {
        int times = 1 + BATCH_BYTES / bytes.length;
        ByteBuffer repeated = ByteBuffer.allocateDirect(times * bytes.length);
        for (int i = 0; i < times; i++) {
            repeated.put(bytes);
        }
        return repeated.flip().asReadOnlyBuffer();
    }

    private void connect() throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
        channel.configureBlocking(false);
        channel.connect(target);
        channel.register(selector, SelectionKey.OP_CONNECT, new Client(batch.duplicate(), bytesEach));
    }

    private void run() {
        try {
            while (!stopped) {
                selector.select(SELECT_MILLIS);
                Iterator<SelectionKey> selected = selector.selectedKeys().iterator();
                while (selected.hasNext()) {
                    advance(selected.next());
                    selected.remove();
                }
                selector.keys().forEach(this::decideIfStalled);
            }
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void advance(SelectionKey key) throws IOException {
        SocketChannel channel = (SocketChannel) key.channel();
        Client client = (Client) key.attachment();
        try {
            if (key.isValid() && key.isConnectable() && channel.finishConnect()) {
                key.interestOps(SelectionKey.OP_WRITE);
            }
            if (key.isValid() && key.isWritable()) {
                write(channel, client);
                if (client.remaining == 0) {
                    key.interestOps(0);
                    decide(client);
                }
            }
        } catch (IOException expected) {
            closedByServer.incrementAndGet();
            decide(client);
            channel.close();
        }
    }

    private void write(SocketChannel channel, Client client) throws IOException {
        if (!client.batch.hasRemaining()) {
            client.batch.rewind();
        }
        client.batch.limit(client.batch.position() + (int) Math.min(client.batch.remaining(), client.remaining));
        int written = channel.write(client.batch);
        client.batch.limit(client.batch.capacity());
        if (written > 0) {
            client.remaining -= written;
            client.progressAt = System.nanoTime();
            sent.addAndGet(written);
        }
    }

    private void decideIfStalled(SelectionKey key) {
        Client client = (Client) key.attachment();
        if (!client.done && System.nanoTime() - client.progressAt > STALL_NANOS) {
            decide(client);
        }
    }

    private void decide(Client client) {
        if (!client.done) {
            client.done = true;
            undecided--;
            if (undecided == 0) {
                settled.countDown();
            }
        }
    }

    /**
     * Waits until each connection has sent all, has been closed by the server, or the server does not read on from it. Returns false if
     * that is not so within the time.
     */
    public boolean awaitSettled(long limitMillis) throws InterruptedException {
        return settled.await(limitMillis, TimeUnit.MILLISECONDS);
    }

    /** Returns how many bytes all connections have sent. */
    public long sentBytes() {
        return sent.get();
    }

    /** Returns how many connections the server has closed, as far as a failed write has shown it. */
    public int closedByServer() {
        return closedByServer.get();
    }

    /** Closes all connections. */
    @Override
    public void close() {
        stopped = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
