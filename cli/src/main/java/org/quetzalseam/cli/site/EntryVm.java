package org.quetzalseam.cli.site;

import java.util.List;
import java.util.Optional;
import org.quetzalseam.core.ini.Problem;
import org.quetzalseam.daemon.EntryDaemon;
import org.quetzalseam.daemon.settings.SettingsReader;
import org.quetzalseam.standins.PlatformStandIn.ListedVm;
import org.quetzalseam.wire.message.Role;

/** An entry VM with its daemon. Thread-safe. */
public final class EntryVm {
    private final String name;
    private final String zone;
    private final Site site;
    private Optional<EntryDaemon> daemon = Optional.empty();
    private volatile boolean ready;
    private volatile int port;

    EntryVm(String name, String zone, Site site) {
        this.name = name;
        this.zone = zone;
        this.site = site;
    }

    /** Returns the VM's name. */
    public String name() {
        return name;
    }

    /** Returns the running daemon. Throws if it is not running. */
    public synchronized EntryDaemon daemon() {
        return daemon.orElseThrow();
    }

    /** Returns whether the load balancer sends callers to this entry. */
    public boolean running() {
        return ready;
    }

    /** Returns the base URL for callers. */
    public String url() {
        return "http://127.0.0.1:" + port;
    }

    /** Returns the base URL of the operator interface. */
    public String operatorUrl() {
        return "http://127.0.0.1:" + daemon().operatorPort();
    }

    private String settings() {
        String seeds = String.join(
                ", ",
                site.endpoints().stream()
                        .filter(EndpointVm::running)
                        .limit(3)
                        .map(vm -> "127.0.0.1:" + vm.daemon().port())
                        .toList());
        return "[process]\nname = " + name + "\nzone = " + zone + "\n"
                + "[platform]\nurl = " + site.platform().url() + "\nseeds = " + seeds + "\n"
                + Site.section("policy", site.options().policy())
                + Site.section("timing", site.options().timing());
    }

    /** Starts the daemon and adds the VM to the platform's list. */
    public synchronized void start() {
        SettingsReader.Result read = SettingsReader.read(Role.ENTRY, name, settings());
        List<Problem> problems = read.problems();
        if (!problems.isEmpty()) {
            throw new IllegalStateException(problems.toString());
        }
        EntryDaemon started = new EntryDaemon(read.settings());
        started.start();
        daemon = Optional.of(started);
        port = started.port();
        ready = true;
        site.platform().list(new ListedVm(name, "entry", zone, "", started.port(), started.operatorPort(), false));
    }

    /** Shuts the daemon down gracefully. The load balancer sends no callers to it as soon as the shutdown begins. */
    public void stop() {
        ready = false;
        EntryDaemon stopping = daemon();
        stopping.stop();
        synchronized (this) {
            daemon = Optional.empty();
        }
    }

    /** Kills the daemon without a graceful shutdown. */
    public synchronized void crash() {
        ready = false;
        daemon.ifPresent(EntryDaemon::abort);
        daemon = Optional.empty();
    }
}
