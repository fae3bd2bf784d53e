package org.quetzalseam.daemon.entry;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.quetzalseam.core.catalogue.CatalogueInForce;
import org.quetzalseam.core.limits.RetryBudget;
import org.quetzalseam.core.placement.Placement;
import org.quetzalseam.daemon.ProcessSecurity;
import org.quetzalseam.daemon.operator.Metrics;
import org.quetzalseam.daemon.platform.ObjectStore;
import org.quetzalseam.daemon.settings.Settings;
import org.quetzalseam.wire.connection.Identity;
import org.quetzalseam.wire.message.Role;
import org.quetzalseam.wire.message.Vm;
import org.quetzalseam.wire.runtime.Service;
import org.quetzalseam.wire.runtime.TimerService;

/**
 * Routes the requests of one entry: tracks the endpoints, places attempts and returns the result of each request.
 * Thread-safe.
 *
 * <p>Example: {@code router.run(request, sink).outcome()}.
 */
public final class EntryRouter implements Service {
    private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofMinutes(1);
    private static final double RETRY_RATIO = 0.1;
    private static final long AFFINITY_SLACK_MILLIS = 200;

    private final Identity self;
    private final CatalogueInForce inForce;
    private final TraceLog traces = new TraceLog();
    private final AtomicLong counter = new AtomicLong();
    private final SiteSync site;
    private final Quarantine quarantine;
    private final TimerService timers;
    private final Fleet fleet;
    private final EntryContext context;
    private final MemberWatch members;
    private final SeedInquiry seeds;

    /**
     * Creates a router.
     *
     * @param settings the process's settings
     * @param inForce the catalogue in force, which peers may update
     * @param store the platform's store, from which the list of VMs is read
     * @param metrics the metrics
     * @param timers the timer service
     */
    public EntryRouter(
            Settings settings, CatalogueInForce inForce, ObjectStore store, Metrics metrics, TimerService timers) {
        this.self = Identity.start(Role.ENTRY, settings.name(), settings.zone());
        this.inForce = inForce;
        this.fleet = new Fleet(
                settings.name(), settings.zone(), placement(settings.policy().placement()));
        this.site = new SiteSync(inForce, fleet);
        this.timers = timers;
        this.quarantine = new Quarantine(timers::now);
        metrics.gauge("quetzalseam.requests.suspected", quarantine::suspects);
        LinkContext links = new LinkContext(
                self,
                ProcessSecurity.siteKey(settings.security()),
                ProcessSecurity.transport(settings.security()),
                timers,
                settings.timing(),
                site,
                quarantine,
                pool -> fleet.history(pool).recordChange(timers.now()));
        this.fleet.setLinkContext(links);
        this.members = new MemberWatch(store, site, settings.name());
        this.context = new EntryContext(
                settings, fleet, site, members, quarantine, new RetryBudget(RETRY_RATIO), metrics, traces, timers);
        this.seeds = new SeedInquiry(settings.seeds(), links);
    }

    private static Placement placement(Settings.PlacementPolicy policy) {
        return switch (policy) {
            case ROUND_ROBIN -> Placement.roundRobin();
            case LEAST_BACKLOG -> Placement.leastBacklog();
            case TWO_CHOICES ->
                Placement.twoChoices(() -> ThreadLocalRandom.current().nextLong());
            case PREFIX_AFFINITY -> Placement.prefixAffinity(AFFINITY_SLACK_MILLIS);
        };
    }

    @Override
    public void start() {
        fleet.start();
        timers.every(EXPIRY_CHECK_INTERVAL, quarantine::dropExpired);
        seeds.start();
        members.start();
    }

    /** Returns a new id for a request. */
    public RequestId nextRequestId() {
        return new RequestId(self.incarnation(), counter.incrementAndGet());
    }

    /** Returns the number of entry processes that share the site's limits. */
    public int entryCount() {
        return fleet.entryCount();
    }

    /** Runs a completion and returns its result. Blocks until it ends; outputs go to the sink meanwhile. */
    public RunResult run(CompletionRequest request, AnswerSink sink) {
        context.retries().recordRequest(request.entry().owner());
        TraceLog.Trace trace = traces.begin(request.requestId().toString());
        trace.note("entry " + request.entry().name() + ", " + request.promptTokens() + " prompt tokens");
        return new CompletionRun(context, request, sink, trace).run();
    }

    /** Runs a call of a plain service and returns its result. Blocks until it ends. */
    public ServiceResult run(ServiceRequest request) {
        context.retries().recordRequest(request.entry().owner());
        TraceLog.Trace trace = traces.begin(request.requestId().toString());
        trace.note("entry " + request.entry().name());
        return new ServiceRun(context, request, trace).run();
    }

    /** Returns the trace of a request, or empty if it is no longer kept. */
    public Optional<List<String>> explain(String requestId) {
        return traces.notes(requestId);
    }

    /** Returns the state of this entry. */
    public EntryStatus status() {
        List<EntryStatus.Peer> peers = fleet.listed().stream()
                .filter(vm -> vm.role() == Role.ENDPOINT)
                .sorted(Comparator.comparing(Vm::name))
                .map(this::peer)
                .toList();
        return new EntryStatus(
                self.name(),
                self.zone(),
                Long.toHexString(self.incarnation()),
                inForce.version(),
                site.membersVersion(),
                peers);
    }

    private EntryStatus.Peer peer(Vm vm) {
        Optional<EndpointLink> link = fleet.linksToPool(vm.pool()).stream()
                .filter(candidate -> candidate.name().equals(vm.name()))
                .findFirst();
        return new EntryStatus.Peer(
                vm.name(),
                vm.pool(),
                link.map(EndpointLink::connected).orElse(false),
                link.map(EndpointLink::isDraining).orElse(vm.leaving()));
    }

    @Override
    public void stop() {
        members.stop();
        seeds.stop();
        fleet.stop();
    }
}
