package org.quetzalseam.gateway.endpoint;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.quetzalseam.core.fleet.Incarnation;
import org.quetzalseam.core.fleet.Member;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.stream.BuildHistory;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.http.Connector;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.runtime.Timers;

/**
 * The endpoints that this entry may use, by service and stage. Used on the event loop only.
 *
 * <p>When a registration and the endpoint's own report state different start times, the later one applies: a start that was
 * observed has happened, so the previous incarnation has ended. Until the next incarnation is registered, the rest of the
 * previous registration is assumed to hold for it, including that the endpoint is draining. An outage of the store therefore
 * removes no endpoint, and an endpoint that was draining gets no work before the store states that it accepts work.
 */
public final class Directory {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Interval at which connections are closed that have been idle for too long, in milliseconds. */
    private static final long EXPIRY_CHECK_MILLIS = 1_000;

    private final Connector connector;
    private final Protocol protocol;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Map<String, Integer> maxConnections = new HashMap<>();
    private final BuildHistory buildHistory = new BuildHistory();
    private Runnable onUnplannedEnd = () -> {};
    private Consumer<Endpoint> onLimitLifted = endpoint -> {};
    private boolean loaded;

    /** Creates an empty directory. */
    public Directory(Connector connector, Protocol protocol) {
        this.connector = connector;
        this.protocol = protocol;
        new Timers(connector.loop())
                .every(EXPIRY_CHECK_MILLIS, () -> endpoints.values().forEach(Endpoint::closeExpiredConnections));
    }

    /** Sets the callback that runs when an endpoint has shown that its process ended or can't be reached, while it was not draining. */
    public void onUnplannedEnd(Runnable call) {
        onUnplannedEnd = call;
    }

    /** Sets the callback that runs when an endpoint's answers have shown that it states no limit any more. */
    public void onLimitLifted(Consumer<Endpoint> call) {
        onLimitLifted = call;
    }

    private final class EndpointEvents implements EndpointListener {
        @Override
        public void unplannedEnd() {
            onUnplannedEnd.run();
        }

        @Override
        public void limitLifted(Endpoint endpoint) {
            onLimitLifted.accept(endpoint);
        }
    }

    /** Returns the builds that have served lately. */
    public BuildHistory buildHistory() {
        return buildHistory;
    }

    /** Returns whether the endpoints have been listed since the start of the process. */
    public boolean loaded() {
        return loaded;
    }

    /**
     * Records the builds of all registrations, also of those that this entry does not use: another one may, whose desired state is
     * newer.
     */
    public void recordBuilds(Collection<Member> registered) {
        buildHistory.update(registered, System.nanoTime());
    }

    /** Updates the directory to the given registrations and removes all endpoints that are not among them. */
    public void update(Collection<Member> members) {
        loaded = true;
        Set<String> listed = new HashSet<>();
        for (Member member : members) {
            listed.add(member.id());
            apply(member);
        }
        for (String id : List.copyOf(endpoints.keySet())) {
            if (!listed.contains(id)) {
                remove(id);
            }
        }
    }

    private void apply(Member member) {
        Endpoint existing = endpoints.get(member.id());
        if (existing == null) {
            endpoints.put(member.id(), create(member));
        } else if (existing.member().incarnation().precedes(member.incarnation())) {
            replaceRestarted(existing, member, "registration");
        } else if (!member.incarnation().precedes(existing.member().incarnation())) {
            updateMember(existing, member);
        }
    }

    private static void updateMember(Endpoint endpoint, Member member) {
        if (!endpoint.member().equals(member)) {
            logger.atInfo().log(
                    "event=endpoint-changed endpoint=%s service=%s leaving=%s stage=%s",
                    member.id(), member.service(), member.draining(), member.stage());
        }
        endpoint.member(member);
    }

    /**
     * Records that an endpoint has restarted, according to its own report.
     *
     * @param endpoint the incarnation that this entry knows
     * @param startMillis the reported start time; one that is not later than the known one is ignored
     */
    public void recordRestart(Endpoint endpoint, long startMillis) {
        Member member = endpoint.member();
        if (endpoints.get(member.id()) == endpoint && startMillis > member.startMillis()) {
            replaceRestarted(endpoint, member.restartedAt(startMillis), "report");
        }
    }

    private void replaceRestarted(Endpoint previous, Member member, String source) {
        logger.atInfo().log(
                "event=endpoint-started-again endpoint=%s service=%s start_ms=%d before_ms=%d source=%s outstanding=%d",
                member.id(),
                member.service(),
                member.startMillis(),
                previous.member().startMillis(),
                source,
                previous.outstanding());
        endpoints.put(member.id(), create(member));
        previous.endIncarnation();
    }

    private Endpoint create(Member member) {
        logger.atInfo().log(
                "event=endpoint-added endpoint=%s service=%s build=%s address=%s zone=%s stage=%s leaving=%s",
                member.id(),
                member.service(),
                member.build(),
                member.address(),
                member.zone(),
                member.stage(),
                member.draining());
        Endpoint endpoint = new Endpoint(connector, protocol, member, new EndpointEvents());
        endpoint.maxConnections(maxConnections.getOrDefault(member.service(), Integer.MAX_VALUE));
        return endpoint;
    }

    /** Sets the maximum number of connections that this entry may have open to each endpoint of a service. */
    public void maxConnections(String service, int maximum) {
        maxConnections.put(service, maximum);
        all(service).forEach(endpoint -> endpoint.maxConnections(maximum));
    }

    private void remove(String id) {
        Endpoint removed = endpoints.remove(id);
        if (removed != null) {
            logger.atInfo().log(
                    "event=endpoint-gone endpoint=%s service=%s",
                    id, removed.member().service());
            removed.delist();
            if (!removed.member().draining()) {
                onUnplannedEnd.run();
            }
        }
    }

    /** Returns an incarnation of an endpoint, if it is the one that this entry knows. */
    public Optional<Endpoint> find(Incarnation incarnation) {
        return Optional.ofNullable(endpoints.get(incarnation.id()))
                .filter(endpoint -> endpoint.member().incarnation().equals(incarnation));
    }

    /** Returns how many endpoints state limits. */
    public long limitedEndpoints() {
        return endpoints.values().stream()
                .filter(endpoint -> endpoint.limits().limited())
                .count();
    }

    /** Returns whether the platform lists this incarnation of the endpoint, be it draining or not. */
    public boolean lists(Endpoint endpoint) {
        return endpoints.get(endpoint.member().id()) == endpoint;
    }

    /** Returns whether the endpoint still accepts new work. */
    public boolean usable(Endpoint endpoint) {
        return !endpoint.member().draining() && !endpoint.misdirected() && lists(endpoint);
    }

    /** Returns a service's endpoints of a stage that accept new work. */
    public List<Endpoint> usable(String service, Stage stage) {
        List<Endpoint> found = new ArrayList<>();
        for (Endpoint endpoint : endpoints.values()) {
            Member member = endpoint.member();
            if (!member.draining()
                    && !endpoint.misdirected()
                    && member.stage() == stage
                    && member.service().equals(service)) {
                found.add(endpoint);
            }
        }
        return found;
    }

    /** Returns whether an endpoint that accepts new work may go on with a stream. */
    public boolean hasEndpointFor(StreamOrigin origin) {
        return endpoints.values().stream()
                .anyMatch(endpoint -> usable(endpoint)
                        && endpoint.member().stage() != Stage.PREFILL
                        && origin.allows(endpoint.member()));
    }

    /** Returns the builds of a service's endpoints that accept new work, sorted. */
    public List<String> builds(String service) {
        return endpoints.values().stream()
                .filter(endpoint ->
                        usable(endpoint) && endpoint.member().service().equals(service))
                .map(endpoint -> String.valueOf(endpoint.member().build()))
                .distinct()
                .sorted()
                .toList();
    }

    /** Returns all endpoints of a service, including those that are draining. */
    public List<Endpoint> all(String service) {
        return endpoints.values().stream()
                .filter(endpoint -> endpoint.member().service().equals(service))
                .toList();
    }

    /** Returns the services whose endpoints have a prefill or decode stage. */
    public Set<String> stagedServices() {
        Set<String> services = new HashSet<>();
        for (Endpoint endpoint : endpoints.values()) {
            if (endpoint.member().stage() != Stage.WHOLE) {
                services.add(endpoint.member().service());
            }
        }
        return services;
    }
}
