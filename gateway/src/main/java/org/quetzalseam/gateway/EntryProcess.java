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
    private static final long LOOP_LOOK_MILLIS = 500;

    private final NioEventLoopGroup group;
    private final EventLoop loop;
    private final Timers timers;
    private final Directory directory;
    private final RequestRouter router;
    private final CallerServer callers;
    private final GatewayMetrics metrics;
    private final OperatorServer operators;
    private final Connector connector;
    private volatile boolean leaving;
    private volatile EntryCount entries = EntryCount.ALONE;
    private long loopLookedAt;
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
        callers = new CallerServer(loop, protocol, router::limits, router::route);
        operators = new OperatorServer(loop, () -> router.ready() && !leaving);
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
        operators.page(METRICS_PATH, metrics::text);
        registerGauges();
        InetSocketAddress ready = operators.start(readyAddress);
        InetSocketAddress metricsPage = operators.start(metricsAddress);
        return new ListeningAddresses(callers.start(callerAddress), ready, metricsPage);
    }

    private void registerGauges() {
        metrics.gauge("quetzalseam.requests.in.progress", callers::inProgress);
        metrics.gauge("quetzalseam.caller.connections", callers::connections);
        metrics.gauge("quetzalseam.desired.state.version", router::version);
        metrics.gauge("quetzalseam.memory.used.bytes", EntryProcess::memoryUsed);
        metrics.gauge("quetzalseam.loop.delay.ms", () -> loopDelayMillis);
        timers.every(LOOP_LOOK_MILLIS, this::measureLoopDelay);
    }

    private static long memoryUsed() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** The time by which the loop's own timer is late tells how long everything else waits for it. */
    private void measureLoopDelay() {
        long now = timers.now();
        if (loopLookedAt != 0) {
            long late = TimeUnit.NANOSECONDS.toMillis(now - loopLookedAt) - LOOP_LOOK_MILLIS;
            loopDelayMillis = Math.max(late, loopDelayMillis / 2);
        }
        loopLookedAt = now;
    }

    /** Takes the number of entries, which share budgets and leave in turn. */
    public void counted(EntryCount count) {
        entries = count;
        router.entries(count);
    }

    /** Returns the metrics, for what is measured outside the entry's own parts. */
    public GatewayMetrics metrics() {
        return metrics;
    }

    /** Leaves: tells that it isn't ready, ends what it has taken, and returns when that is done or time is up. */
    public void drain(long graceMillis) {
        leaving = true;
        new Departure(timers, callers, router).run(graceMillis, entries);
    }

    /** Drops everything at once. */
    public void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
