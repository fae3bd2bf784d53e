package org.quetzalseam.gateway.endpoint;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.http.CallFailure;
import org.quetzalseam.gateway.http.Connector;
import org.quetzalseam.gateway.http.HttpConnection;

/** Receives the outcome of opening a connection to an endpoint. Used on the event loop only. */
final class ConnectOutcome implements Connector.ConnectListener {
    private final CrashCheck crashCheck;
    private final PeerDisconnects peerDisconnects;
    private final @Nullable EndpointCall call;
    private final BooleanSupplier mayBegin;
    private final Consumer<HttpConnection> onUnused;
    private final Runnable onNotOpened;

    /**
     * Creates a listener.
     *
     * @param crashCheck learns whether the endpoint can be reached
     * @param peerDisconnects records failures to connect
     * @param call the call that waits for the connection, or null
     * @param mayBegin returns whether the endpoint still takes the call when the connection is open
     * @param onUnused receives a connection that carries no call
     * @param onNotOpened called when no connection could be opened
     */
    ConnectOutcome(
            CrashCheck crashCheck,
            PeerDisconnects peerDisconnects,
            @Nullable EndpointCall call,
            BooleanSupplier mayBegin,
            Consumer<HttpConnection> onUnused,
            Runnable onNotOpened) {
        this.crashCheck = crashCheck;
        this.peerDisconnects = peerDisconnects;
        this.call = call;
        this.mayBegin = mayBegin;
        this.onUnused = onUnused;
        this.onNotOpened = onNotOpened;
    }

    @Override
    public void connected(HttpConnection connection) {
        crashCheck.connected();
        if (call == null) {
            onUnused.accept(connection);
        } else if (!mayBegin.getAsBoolean()) {
            onUnused.accept(connection);
            call.failUnsent(new CallFailure(CallFailure.Kind.NOT_CONNECTED, "the endpoint began to leave meanwhile"));
        } else if (!call.begin(connection)) {
            onUnused.accept(connection);
        }
    }

    @Override
    public void failed(CallFailure failure) {
        onNotOpened.run();
        peerDisconnects.record(System.nanoTime());
        crashCheck.connectFailed();
        if (call != null) {
            call.failUnsent(failure);
        }
    }
}
