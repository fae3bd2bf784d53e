package org.quetzalseam.wire.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quetzalseam.wire.FrameCodec;
import org.quetzalseam.wire.MessageCodec;
import org.quetzalseam.wire.message.Leaving;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.message.Role;

/** Tests peers that connect and then do not go on: they read no answer, or never prove who they are. */
@Timeout(60)
class NonReadingPeerTest {
    private static final int QUESTIONS = 400;
    private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;
    /** More than may be in the handshake at once. */
    private static final int SILENT = 300;

    private static final Leaving QUESTION = new Leaving(List.of());
    /** Some 300 KB, so that the answers to all questions take far more than a connection may queue. */
    private static final Leaving ANSWER = new Leaving(Collections.nCopies(1_000, "k".repeat(300)));

    private final BlockingQueue<Connection> accepted = new LinkedBlockingQueue<>();
    private final AtomicInteger received = new AtomicInteger();
    private final List<Socket> sockets = new ArrayList<>();
    private final Acceptor acceptor = new Acceptor(
            "127.0.0.1",
            0,
            Identity.start(Role.ENDPOINT, "endpoint", "zone"),
            SiteKey.loopback(),
            Transport.plain(),
            new AnsweringListener(),
            accepted::add);

    private final class AnsweringListener implements Connection.Listener {
        @Override
        public void received(Connection connection, Message message) {
            received.incrementAndGet();
            connection.send(ANSWER);
        }

        @Override
        public void closed(Connection connection) {
            // The test looks at what was read.
        }
    }

    @BeforeEach
    void start() {
        acceptor.start();
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        acceptor.stop();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), acceptor.port()));
        sockets.add(socket);
        return socket;
    }

    private static OutputStream shakeHands(Socket socket) throws IOException {
        OutputStream out = Connection.output(socket);
        DataInputStream in = Connection.input(socket);
        Handshake.open(in, out, Identity.start(Role.ENTRY, "entry", "zone"), SiteKey.loopback(), 1);
        return out;
    }

    // Guards against an endpoint that reads and answers on and on while its answers lie unread.
    @Test
    void noFurtherQuestionIsReadWhileTheAnswersLieUnread() throws Exception {
        OutputStream out = shakeHands(connect());
        for (int i = 0; i < QUESTIONS; i++) {
            FrameCodec.write(out, MessageCodec.encode(QUESTION));
        }
        out.flush();
        Connection connection = accepted.poll(5, TimeUnit.SECONDS);
        assertThat(connection).isNotNull();
        int before = -1;
        while (received.get() != before) {
            before = received.get();
            TimeUnit.SECONDS.sleep(1);
        }
        assertThat(received.get()).isLessThan(QUESTIONS);
        assertThat(connection.queuedBytes())
                .isLessThan(Connection.MAX_UNREAD_BYTES + MessageCodec.encode(ANSWER).length);
        assertThat(connection.isOpen()).isTrue();
    }

    // Guards against what was queued for peers that are gone counting for ever, until no other peer can be answered.
    @Test
    void whatWasQueuedForAClosedConnectionNoLongerCounts() throws Exception {
        long before = QueueMemory.ofProcess().used();
        shakeHands(connect());
        Connection connection = accepted.poll(5, TimeUnit.SECONDS);
        assertThat(connection).isNotNull();
        while (connection.send(ANSWER)) {
            // Sends until the connection is closed because its queue is full.
        }
        assertThat(connection.send(ANSWER)).isFalse();
        for (int i = 0; i < 100 && QueueMemory.ofProcess().used() != before; i++) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        assertThat(QueueMemory.ofProcess().used()).isEqualTo(before);
    }

    // Guards against a process being kept out for as long as others connect and never prove who they are.
    @Test
    void silentConnectionsDoNotKeepAPeerOut() throws Exception {
        for (int i = 0; i < SILENT; i++) {
            connect();
        }
        shakeHands(connect());
        assertThat(accepted.poll(5, TimeUnit.SECONDS)).isNotNull();
    }

    // Guards against each further connection taking threads and descriptors without end.
    @Test
    void connectionsBeyondTheLimitAreClosed() throws Exception {
        List<String> reached = Collections.synchronizedList(new ArrayList<>());
        acceptor.limit(1, reached::add);
        shakeHands(connect());
        Socket second = connect();
        shakeHands(second);
        assertThat(second.getInputStream().read()).isNegative();
        assertThat(reached).containsExactly("peer-connections");
        assertThat(acceptor.connections()).hasSize(1);
    }
}
