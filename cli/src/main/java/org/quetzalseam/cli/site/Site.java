package org.quetzalseam.cli.site;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.quetzalseam.core.catalogue.Manifest;
import org.quetzalseam.daemon.catalogue.CatalogueStore;
import org.quetzalseam.daemon.platform.HttpObjectStore;
import org.quetzalseam.standins.EngineCosts;
import org.quetzalseam.standins.KvRegistry;
import org.quetzalseam.standins.PlatformStandIn;
import org.quetzalseam.standins.ServiceStandIn;
import org.quetzalseam.wire.runtime.Service;

/**
 * A complete deployment in one JVM: the real daemons over loopback sockets, and stand-ins for the platform, the engines
 * and the services. Thread-safe once started.
 */
public final class Site implements Service {
    private static final Pattern MILLIS = Pattern.compile("(?m)^(\\S+-ms\\s*=\\s*)(\\d+)");
    private static final Duration START_LIMIT = Duration.ofSeconds(30);

    private final Deployment deployment;
    private final SiteOptions options;
    private final PlatformStandIn platform = new PlatformStandIn();
    private final KvRegistry registry = new KvRegistry();
    private final ServiceStandIn.Ledger ledger = new ServiceStandIn.Ledger();
    private final List<EndpointVm> endpoints = new ArrayList<>();
    private final List<EntryVm> entries = new ArrayList<>();

    /** Creates a site; {@link #start} starts it. */
    public Site(Deployment deployment, SiteOptions options) {
        this.deployment = deployment;
        this.options = options;
    }

    @Override
    public void start() {
        EngineCosts costs = EngineCosts.usual().faster(options.speed());
        for (Deployment.Pool pool : deployment.pools()) {
            for (int i = 0; i < pool.servers(); i++) {
                String zone = deployment.zones().get(i % deployment.zones().size());
                String name = pool.name() + "-" + (i + 1);
                EndpointVm vm = new EndpointVm(name, zone, pool, this, new BackendVm(pool.kind(), costs, this));
                endpoints.add(vm);
                vm.start();
            }
        }
        for (int i = 0; i < deployment.entries(); i++) {
            String zone = deployment.zones().get(i % deployment.zones().size());
            EntryVm vm = new EntryVm("entry-" + (i + 1), zone, this);
            entries.add(vm);
            vm.start();
        }
        long version = apply(catalogue());
        awaitCatalogue(version);
    }

    /**
     * Returns the deployment's catalogue files, with all times ({@code -ms} keys) divided by the site's speed, but at
     * least 1 ms.
     */
    public Map<String, String> catalogue() {
        Map<String, String> files = new TreeMap<>();
        deployment.catalogue().forEach((name, text) -> files.put(name, scaled(text)));
        return files;
    }

    private String scaled(String text) {
        Matcher matcher = MILLIS.matcher(text);
        return matcher.replaceAll(match ->
                match.group(1) + Math.max(1, Math.round(Integer.parseInt(match.group(2)) / options.speed())));
    }

    /** Proposes a catalogue and returns the version that it gets if it is accepted. */
    public long apply(Map<String, String> files) {
        CatalogueStore store = new CatalogueStore(new HttpObjectStore(platform.url()));
        Manifest accepted = store.accepted().value();
        return store.propose(files, accepted.version(), "site").version();
    }

    /** Waits until every entry runs this or a later catalogue version and is connected to every endpoint. */
    public void awaitCatalogue(long version) {
        Wait.until(
                START_LIMIT,
                "catalogue " + version + " in force",
                () -> entries.stream()
                        .allMatch(entry -> entry.daemon().catalogueVersion() >= version
                                && entry.daemon().connectedEndpoints() == endpoints.size()));
    }

    /** Returns the deployment that the site runs. */
    public Deployment deployment() {
        return deployment;
    }

    /** Returns the options of the site. */
    public SiteOptions options() {
        return options;
    }

    /** Returns the platform stand-in. */
    public PlatformStandIn platform() {
        return platform;
    }

    /** Returns the registry of the KV caches of all engines. */
    public KvRegistry registry() {
        return registry;
    }

    /** Returns the record of the calls that the services have executed. */
    public ServiceStandIn.Ledger ledger() {
        return ledger;
    }

    /** Returns the endpoints. */
    public List<EndpointVm> endpoints() {
        return List.copyOf(endpoints);
    }

    /** Returns the endpoints of one pool. */
    public List<EndpointVm> pool(String name) {
        return endpoints.stream().filter(vm -> vm.pool().name().equals(name)).toList();
    }

    /** Returns the entries. */
    public List<EntryVm> entries() {
        return List.copyOf(entries);
    }

    /** Returns the base URLs of the running entries. */
    public List<String> entryUrls() {
        return entries.stream().filter(EntryVm::running).map(EntryVm::url).toList();
    }

    @Override
    public void stop() {
        ExecutorService stopping = Executors.newCachedThreadPool();
        entries.forEach(entry -> stopping.execute(entry::crash));
        endpoints.forEach(endpoint -> stopping.execute(endpoint::destroy));
        stopping.shutdown();
        try {
            if (!stopping.awaitTermination(START_LIMIT.toSeconds(), TimeUnit.SECONDS)) {
                stopping.shutdownNow();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        platform.stop();
    }

    /** Returns a settings section as INI text. */
    static String section(String name, Map<String, String> values) {
        StringBuilder text = new StringBuilder("[" + name + "]\n");
        values.forEach(
                (key, value) -> text.append(key).append(" = ").append(value).append('\n'));
        return text.toString();
    }

    /** Returns a running entry, chosen round-robin by the given number. Waits while no entry is running. */
    public EntryVm entry(long number) {
        Wait.until(START_LIMIT, "a running entry", () -> entries.stream().anyMatch(EntryVm::running));
        List<EntryVm> running = entries.stream().filter(EntryVm::running).toList();
        return running.get((int) Math.floorMod(number, (long) Math.max(1, running.size())));
    }
}
