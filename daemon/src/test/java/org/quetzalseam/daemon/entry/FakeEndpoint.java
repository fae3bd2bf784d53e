package org.quetzalseam.daemon.entry;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.wire.WireException;
import org.quetzalseam.wire.connection.Acceptor;
import org.quetzalseam.wire.connection.Connection;
import org.quetzalseam.wire.connection.Identity;
import org.quetzalseam.wire.connection.SiteKey;
import org.quetzalseam.wire.connection.Transport;
import org.quetzalseam.wire.message.Answer;
import org.quetzalseam.wire.message.AttemptMessage;
import org.quetzalseam.wire.message.AttemptReply;
import org.quetzalseam.wire.message.Book;
import org.quetzalseam.wire.message.Booked;
import org.quetzalseam.wire.message.Call;
import org.quetzalseam.wire.message.FenceKey;
import org.quetzalseam.wire.message.KeyFenced;
import org.quetzalseam.wire.message.LeavingHeard;
import org.quetzalseam.wire.message.Load;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.message.Prefill;
import org.quetzalseam.wire.message.Prefilled;
import org.quetzalseam.wire.message.Role;

/** A process of an endpoint that answers each first order of an attempt at once. Thread-safe. */
final class FakeEndpoint implements Connection.Listener {
    private static final Load LOAD = Load.unknown();
    private static final Duration PORT_WAIT = Duration.ofSeconds(5);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(1);
    private static final Duration CONNECTION_WAIT = Duration.ofSeconds(5);

    private final Acceptor acceptor;
    private final Set<AttemptId> received = ConcurrentHashMap.newKeySet();
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean leavingAcknowledged;

    private FakeEndpoint(int port) {
        acceptor = new Acceptor(
                "127.0.0.1",
                port,
                Identity.start(Role.ENDPOINT, "endpoint", "zone"),
                SiteKey.loopback(),
                Transport.plain(),
                this,
                connections::add);
    }

    /**
     * Starts a process on a port, or on any free one if it is 0. Waits until a process that has just ended frees the
     * port.
     */
    static FakeEndpoint start(int port) {
        long end = System.nanoTime() + PORT_WAIT.toNanos();
        while (true) {
            FakeEndpoint endpoint = new FakeEndpoint(port);
            try {
                endpoint.acceptor.start();
                return endpoint;
            } catch (WireException e) {
                endpoint.stop();
                if (System.nanoTime() - end > 0) {
                    throw e;
                }
                LockSupport.parkNanos(POLL_INTERVAL.toNanos());
            }
        }
    }

    int port() {
        return acceptor.port();
    }

    /** Returns whether an order of an attempt has arrived here. */
    boolean took(AttemptId id) {
        return received.contains(id);
    }

    /** Returns whether an entry has acknowledged the process's shutdown. */
    boolean isLeavingAcknowledged() {
        return leavingAcknowledged;
    }

    /**
     * Sends a message to every connected entry. Waits for the first, because an entry ends the handshake, and is
     * connected, before this process does.
     */
    void sendToAll(Message message) {
        long end = System.nanoTime() + CONNECTION_WAIT.toNanos();
        while (connections.isEmpty() && System.nanoTime() - end < 0) {
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
        connections.forEach(connection -> connection.send(message));
    }

    void stop() {
        acceptor.stop();
    }

    @Override
    public void received(Connection connection, Message message) {
        if (message instanceof LeavingHeard) {
            leavingAcknowledged = true;
        } else if (message instanceof AttemptMessage order) {
            received.add(order.attempt());
            connection.send(reply(order));
        }
    }

    private static AttemptReply reply(AttemptMessage order) {
        AttemptId id = order.attempt();
        if (order instanceof Book) {
            return new Booked(id, LOAD);
        }
        if (order instanceof Prefill) {
            return new Prefilled(id, new byte[0], LOAD);
        }
        if (order instanceof FenceKey) {
            return new KeyFenced(id, true, LOAD);
        }
        if (order instanceof Call) {
            return new Answer(id, 200, Map.of(), new byte[0], LOAD);
        }
        throw new IllegalArgumentException("not a first order: " + order);
    }

    @Override
    public void closed(Connection connection) {
        connections.remove(connection);
    }
}
