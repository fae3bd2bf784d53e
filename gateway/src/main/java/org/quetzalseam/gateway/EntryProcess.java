package org.quetzalseam.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.quetzalseam.core.access.EntryPart;
import org.quetzalseam.gateway.access.AccessControl;
import org.quetzalseam.gateway.access.AccessSettings;
import org.quetzalseam.gateway.access.TeamAllowances;
import org.quetzalseam.gateway.caller.CallerServer;
import org.quetzalseam.gateway.endpoint.Directory;
import org.quetzalseam.gateway.entry.EntryCount;
import org.quetzalseam.gateway.entry.EntryList;
import org.quetzalseam.gateway.entry.EntryListener;
import org.quetzalseam.gateway.http.ConnectionLimits;
import org.quetzalseam.gateway.http.Connector;
import org.quetzalseam.gateway.operator.GatewayMetrics;
import org.quetzalseam.gateway.operator.OperatorServer;
import org.quetzalseam.gateway.peer.PeerServer;
import org.quetzalseam.gateway.peer.Peers;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.route.EntrySettings;
import org.quetzalseam.gateway.route.RequestRouter;
import org.quetzalseam.gateway.runtime.ThrownErrors;
import org.quetzalseam.gateway.runtime.Timers;

/**
 * The streaming entry: accepts callers' requests on one event loop and forwards them to endpoints. Its owner supplies routes
 * and endpoints through {@link #router} and {@link #directory}, on the thread of its {@link #timers}.
 */
public final class EntryProcess {
    private static final String METRICS_PATH = "/metrics";
    /** How often an entry checks whether its count of the entries is still recent, in milliseconds. */
    private static final long PART_CHECK_MILLIS = 500;
    /** How often the event loop's delay is measured, in milliseconds. */
    private static final long LOOP_DELAY_INTERVAL_MILLIS = 500;

    private final boolean firstStart;
    private final NioEventLoopGroup group;
    private final EventLoop loop;
    private final Timers timers;
    private final Directory directory;
    private final RequestRouter router;
    private final CallerServer callerServer;
    private final GatewayMetrics metrics;
    private final OperatorServer operatorServer;
    private final Connector connector;
    private final Peers peers;
    private final PeerServer peerServer;
    private final AccessControl accessControl;
    private final TeamAllowances allowances;
    private volatile boolean draining;
    private volatile EntryCount entryCount = EntryCount.ALONE;
    private long loopMeasuredAt;
    private long loopDelayMillis;

    /** Creates an entry of a site without limits on teams. It listens nowhere until {@link #start} is called. */
    public EntryProcess(Protocol protocol, EntrySettings settings) {
        this(protocol, settings, AccessSettings.DEFAULT);
    }

    /** Creates an entry with the default limits on connections. It listens nowhere until {@link #start} is called. */
    public EntryProcess(Protocol protocol, EntrySettings settings, AccessSettings accessSettings) {
        this(protocol, settings, accessSettings, ConnectionLimits.ofProcess());
    }

    /** Creates an entry that listens nowhere until {@link #start} is called. */
    public EntryProcess(
            Protocol protocol, EntrySettings settings, AccessSettings accessSettings, ConnectionLimits limits) {
        firstStart = settings.firstStart();
        group = new NioEventLoopGroup(1, new DefaultThreadFactory("loop"));
        loop = group.next();
        timers = new Timers(loop);
        connector = new Connector(loop, protocol.idHeader());
        directory = new Directory(connector, protocol);
        metrics = new GatewayMetrics();
        peers = new Peers(loop, timers);
        accessControl = new AccessControl(accessSettings);
        allowances = new TeamAllowances(timers, peers, accessSettings.bounds());
        router = new RequestRouter(timers, protocol, directory, settings, metrics, accessControl, allowances, peers);
        peerServer = new PeerServer(
                loop,
                allowances,
                router::provedState,
                router.origins(),
                router.crashListener(),
                router.endpointLimits());
        peerServer.places(router.dispatchers().issuer());
        peerServer.limit(limits, metrics::limitReached);
        callerServer =
                CallerServer.limited(loop, protocol, router::limits, router::route, limits, metrics::limitReached);
        operatorServer = new OperatorServer(loop, () -> router.ready() && !draining, limits, metrics::limitReached);
    }

    /** Returns the timers of the event loop that everything runs on. */
    public Timers timers() {
        return timers;
    }

    /** Returns the connector that opens connections on the event loop. */
    public Connector connector() {
        return connector;
    }

    /** Returns the directory of endpoints, which the owner of this entry keeps up to date. */
    public Directory directory() {
        return directory;
    }

    /** Returns the router, which the owner of this entry supplies with the desired state. */
    public RequestRouter router() {
        return router;
    }

    /**
     * Starts to listen for callers, for readiness checks and for metrics requests. For an address with port 0 the operating
     * system chooses a port.
     *
     * @return the addresses with their real ports
     * @throws org.quetzalseam.gateway.http.GatewayException if the process cannot listen on one of the addresses
     */
    public ListeningAddresses start(
            InetSocketAddress callerAddress, InetSocketAddress readyAddress, InetSocketAddress metricsAddress) {
        operatorServer.addPage(METRICS_PATH, metrics::text);
        registerGauges();
        InetSocketAddress ready = operatorServer.start(readyAddress);
        InetSocketAddress metricsPage = operatorServer.start(metricsAddress);
        return new ListeningAddresses(callerServer.start(callerAddress), ready, metricsPage);
    }

    private void registerGauges() {
        metrics.gauge("quetzalseam.requests.in.progress", callerServer::inProgress);
        metrics.gauge("quetzalseam.caller.connections", callerServer::connections);
        metrics.gauge("quetzalseam.bodies.kept.bytes", callerServer::bodyBytes);
        metrics.gauge("quetzalseam.connections.held.bytes", callerServer::heldBytes);
        metrics.gauge("quetzalseam.heads.kept.bytes", callerServer::headBytes);
        metrics.gauge("quetzalseam.desired.state.version", router::version);
        metrics.gauge("quetzalseam.route.history.bytes", router::routeHistoryBytes);
        metrics.gauge("quetzalseam.memory.used.bytes", EntryProcess::memoryUsed);
        metrics.gauge("quetzalseam.loop.delay.ms", () -> loopDelayMillis);
        metrics.gauge("quetzalseam.streams.recorded", router.origins()::size);
        metrics.gauge("quetzalseam.endpoints.limited", directory::limitedEndpoints);
        metrics.gauge("quetzalseam.places.waiting", router.dispatchers()::waiting);
        metrics.gauge("quetzalseam.places.in.use", router.dispatchers()::inUse);
        metrics.gauge("quetzalseam.replies.kept.bytes", connector::keptReplyBytes);
        metrics.gauge("quetzalseam.callbacks.failed", ThrownErrors::total);
        timers.every(LOOP_DELAY_INTERVAL_MILLIS, this::measureLoopDelay);
    }

    private static long memoryUsed() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** Measures by how much a timer of the event loop is late, which is how long all other work waits for the loop. */
    private void measureLoopDelay() {
        ThrownErrors.logMissed();
        long now = timers.now();
        if (loopMeasuredAt != 0) {
            long late = TimeUnit.NANOSECONDS.toMillis(now - loopMeasuredAt) - LOOP_DELAY_INTERVAL_MILLIS;
            loopDelayMillis = Math.max(late, loopDelayMillis / 2);
        }
        loopMeasuredAt = now;
    }

    /** Starts to answer other entries. Returns the address with the port in use. */
    public InetSocketAddress startPeerServer(InetSocketAddress address) {
        timers.soon(router.endpointLimits()::answersPeers);
        timers.soon(router.dispatchers()::answersPeers);
        return peerServer.start(address);
    }

    /** Returns the other entries, whose addresses the owner of this entry keeps up to date. */
    public Peers peers() {
        return peers;
    }

    /** Returns this entry's shares of the teams' allowances. */
    public TeamAllowances allowances() {
        return allowances;
    }

    /** Applies settings of the access of teams that were read again; bounds of allowances stay until the next start. */
    public void accessSettings(AccessSettings settings) {
        accessControl.update(settings);
    }

    /** Returns the listener that keeps up to date which entries share the site with this one. */
    public EntryListener siteEntries() {
        return new SiteEntries();
    }

    private final class SiteEntries implements EntryListener {
        private final EntryPart part = new EntryPart();

        SiteEntries() {
            timers.every(PART_CHECK_MILLIS, this::updatePart);
        }

        private void updatePart() {
            allowances.part(part.part(timers.elapsed()));
            boolean mayBeUnknown = !part.knownToOthers(timers.elapsed());
            router.endpointLimits().newcomer(mayBeUnknown);
            router.dispatchers().newcomer(mayBeUnknown);
        }

        @Override
        public void counted(EntryCount count) {
            entryCount = count;
            router.entries(count);
        }

        @Override
        public void listed(EntryList list) {
            peers.update(list.peers());
            router.endpointLimits().listed(list);
            router.dispatchers().listed(list);
            part.recordCount(list.entries(), TimeUnit.MILLISECONDS.toNanos(list.intervalMillis()), list.askedAt());
            updatePart();
        }

        @Override
        public void added() {
            if (!firstStart) {
                part.recordAdded(timers.elapsed());
            }
        }
    }

    /** Returns the metrics, to which code outside the entry adds its own measurements. */
    public GatewayMetrics metrics() {
        return metrics;
    }

    /**
     * Shuts the entry down in order: it reports that it is not ready and completes the requests that it has accepted. Returns
     * when they have ended or the grace period is over.
     */
    public void drain(long graceMillis) {
        draining = true;
        new EntryShutdown(timers, callerServer, router).run(graceMillis, entryCount);
    }

    /** Stops at once; requests in progress and connections are dropped. */
    public void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
