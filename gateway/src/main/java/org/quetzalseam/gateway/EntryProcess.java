package org.quetzalseam.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.quetzalseam.gateway.caller.CallerServer;
import org.quetzalseam.gateway.endpoint.Directory;
import org.quetzalseam.gateway.entry.EntryCount;
import org.quetzalseam.gateway.http.Connector;
import org.quetzalseam.gateway.operator.GatewayMetrics;
import org.quetzalseam.gateway.operator.OperatorServer;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.route.EntrySettings;
import org.quetzalseam.gateway.route.RequestRouter;
import org.quetzalseam.gateway.runtime.Timers;

/**
 * An entry: takes callers' requests on one event loop and forwards them. What it routes by, it is given through {@link
 * #router} and {@link #directory}, on the thread of its {@link #timers}.
 */
public final class EntryProcess {
    private static final String METRICS_PATH = "/metrics";
    /** How often the loop's delay is measured, in milliseconds. */
    private static final long LOOP_DELAY_INTERVAL_MILLIS = 500;

    private final NioEventLoopGroup group;
    private final EventLoop loop;
    private final Timers timers;
    private final Directory directory;
    private final RequestRouter router;
    private final CallerServer callerServer;
    private final GatewayMetrics metrics;
    private final OperatorServer operatorServer;
    private final Connector connector;
    private volatile boolean draining;
    private volatile EntryCount entryCount = EntryCount.ALONE;
    private long loopMeasuredAt;
    private long loopDelayMillis;

    /** Creates an entry; {@link #start} opens it. */
    public EntryProcess(Protocol protocol, EntrySettings settings) {
        group = new NioEventLoopGroup(1, new DefaultThreadFactory("loop"));
        loop = group.next();
        timers = new Timers(loop);
        connector = new Connector(loop, protocol.idHeader());
        directory = new Directory(connector);
        metrics = new GatewayMetrics();
        router = new RequestRouter(timers, protocol, directory, settings, metrics);
        callerServer = new CallerServer(loop, protocol, router::limits, router::route);
        operatorServer = new OperatorServer(loop, () -> router.ready() && !draining);
    }

    /** Returns the timers of the event loop that everything runs on. */
    public Timers timers() {
        return timers;
    }

    /** Returns what opens connections on the event loop. */
    public Connector connector() {
        return connector;
    }

    /** Returns the endpoints, to be kept up to date. */
    public Directory directory() {
        return directory;
    }

    /** Returns the router, to be given the desired state. */
    public RequestRouter router() {
        return router;
    }

    /**
     * Listens for callers, for questions about readiness, and for those who ask for the metrics. An address with port 0 gets a port
     * of the system's choice.
     *
     * @return the addresses with their real ports
     * @throws org.quetzalseam.gateway.http.GatewayException if one of the addresses can't be listened on
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
        metrics.gauge("quetzalseam.desired.state.version", router::version);
        metrics.gauge("quetzalseam.memory.used.bytes", EntryProcess::memoryUsed);
        metrics.gauge("quetzalseam.loop.delay.ms", () -> loopDelayMillis);
        timers.every(LOOP_DELAY_INTERVAL_MILLIS, this::measureLoopDelay);
    }

    private static long memoryUsed() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** The time by which the loop's own timer is late tells how long everything else waits for it. */
    private void measureLoopDelay() {
        long now = timers.now();
        if (loopMeasuredAt != 0) {
            long late = TimeUnit.NANOSECONDS.toMillis(now - loopMeasuredAt) - LOOP_DELAY_INTERVAL_MILLIS;
            loopDelayMillis = Math.max(late, loopDelayMillis / 2);
        }
        loopMeasuredAt = now;
    }

    /** Takes the number of entries, which share budgets and leave in turn. */
    public void entryCountChanged(EntryCount count) {
        entryCount = count;
        router.entries(count);
    }

    /** Returns the metrics, for what is measured outside the entry's own parts. */
    public GatewayMetrics metrics() {
        return metrics;
    }

    /** Leaves: tells that it isn't ready, ends what it has taken, and returns when that is done or time is up. */
    public void drain(long graceMillis) {
        draining = true;
        new EntryShutdown(timers, callerServer, router).run(graceMillis, entryCount);
    }

    /** Drops everything at once. */
    public void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
