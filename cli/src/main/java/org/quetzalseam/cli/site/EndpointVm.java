package org.quetzalseam.cli.site;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalseam.core.ini.Problem;
import org.quetzalseam.daemon.endpoint.EndpointDaemon;
import org.quetzalseam.daemon.settings.Settings.BackendKind;
import org.quetzalseam.daemon.settings.SettingsReader;
import org.quetzalseam.standins.LinkProxy;
import org.quetzalseam.standins.PlatformStandIn.ListedVm;
import org.quetzalseam.wire.message.Role;

/** An endpoint VM: a daemon, its backend, and the network path to the daemon. Thread-safe. */
public final class EndpointVm {
    private static final int SERVICE_PLACES = 64;
    private static final int PREFILL_PLACES = 2;
    private static final int DECODE_PLACES = 20;

    private final String name;
    private final String zone;
    private final Deployment.Pool pool;
    private final Site site;
    private final BackendVm backend;
    private Optional<EndpointDaemon> daemon = Optional.empty();
    private Optional<LinkProxy> proxy = Optional.empty();

    EndpointVm(String name, String zone, Deployment.Pool pool, Site site, BackendVm backend) {
        this.name = name;
        this.zone = zone;
        this.pool = pool;
        this.site = site;
        this.backend = backend;
    }

    /** Returns the VM's name. */
    public String name() {
        return name;
    }

    /** Returns the pool that the VM belongs to. */
    public Deployment.Pool pool() {
        return pool;
    }

    /** Returns the engine or service of the VM. */
    public BackendVm backend() {
        return backend;
    }

    /** Returns the running daemon. Throws if it is not running. */
    public synchronized EndpointDaemon daemon() {
        return daemon.orElseThrow();
    }

    /** Returns whether the daemon is running. */
    public synchronized boolean running() {
        return daemon.isPresent();
    }

    /** Returns the proxy in front of the daemon. Throws on a site without proxies. */
    public synchronized LinkProxy proxy() {
        return proxy.orElseThrow();
    }

    private String settings() {
        int places = places();
        Map<String, String> backendSettings = Map.of(
                "kind", pool.kind().name().toLowerCase(java.util.Locale.ROOT),
                "url", backend.url(),
                "places", Integer.toString(places));
        return "[process]\nname = " + name + "\nzone = " + zone + "\n"
                + "[platform]\nurl = " + site.platform().url() + "\n"
                + Site.section("backend", backendSettings)
                + Site.section("policy", site.options().policy())
                + Site.section("timing", site.options().timing());
    }

    /** Returns the value of the setting {@code places} for this endpoint. */
    public int places() {
        if (pool.kind() == BackendKind.SERVICE) {
            return SERVICE_PLACES;
        }
        return pool.kind() == BackendKind.PREFILL ? PREFILL_PLACES : DECODE_PLACES;
    }

    /** Starts the daemon and adds the VM to the platform's list. */
    public void start() {
        start(0);
    }

    /**
     * Starts the daemon and adds the VM to the platform's list. On a site with proxies, the network path delays each
     * chunk of data in either direction by the given time.
     */
    public synchronized void start(long pathDelayMillis) {
        SettingsReader.Result read = SettingsReader.read(Role.ENDPOINT, name, settings());
        List<Problem> problems = read.problems();
        if (!problems.isEmpty()) {
            throw new IllegalStateException(problems.toString());
        }
        EndpointDaemon started = new EndpointDaemon(read.settings());
        started.start();
        daemon = Optional.of(started);
        int port = started.port();
        if (site.options().proxied()) {
            proxy.ifPresent(LinkProxy::stop);
            LinkProxy path = new LinkProxy(port);
            path.delay(pathDelayMillis);
            proxy = Optional.of(path);
            port = path.port();
        }
        site.platform().list(new ListedVm(name, "endpoint", zone, pool.name(), port, started.operatorPort(), false));
    }

    /** Shuts the daemon down gracefully. The platform's list still shows the VM as live, because the list lags. */
    public void stop() {
        EndpointDaemon stopping = daemon();
        stopping.stop();
        synchronized (this) {
            daemon = Optional.empty();
        }
    }

    /** Kills the daemon without a graceful shutdown. The platform's list still shows the VM. */
    public synchronized void crash() {
        daemon.ifPresent(EndpointDaemon::abort);
        daemon = Optional.empty();
    }

    /** Removes the VM from the platform's list. */
    public void unlist() {
        site.platform().unlist(name);
    }

    void destroy() {
        crash();
        backend.stop();
        synchronized (this) {
            proxy.ifPresent(LinkProxy::stop);
        }
    }
}
