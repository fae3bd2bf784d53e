package org.quetzalseam.gateway.endpoint;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quetzalseam.core.fleet.Member;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.gateway.http.Connector;

/**
 * The endpoints that this entry may use, by service and stage. Used on the event loop only.
 *
 * <p>When a registration and an endpoint's own report name different starts, the later one holds: a start that anybody has
 * seen has been, so the earlier life is over. What the earlier life's registration says beside its start is taken to hold for
 * the next life until that is registered, its leaving included: an outage of the store then takes no endpoint away, and one
 * that was leaving gets no work before the store says that it takes any.
 */
public final class Directory {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Connector connector;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Map<String, Integer> maxConnections = new HashMap<>();
    private boolean loaded;

    /** Creates an empty directory. */
    public Directory(Connector connector) {
        this.connector = connector;
    }

    /** Returns whether the endpoints have been learnt since the start of the process. */
    public boolean loaded() {
        return loaded;
    }

    /** Takes the members as they are now. */
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
        Endpoint known = endpoints.get(member.id());
        if (known == null) {
            endpoints.put(member.id(), create(member));
        } else if (known.member().incarnation().precedes(member.incarnation())) {
            replaceRestarted(known, member, "registration");
        } else if (!member.incarnation().precedes(known.member().incarnation())) {
            updateMember(known, member);
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

    /** Takes an endpoint's own word that it has started again since the life that is known here. */
    public void recordRestart(Endpoint endpoint, long startMillis) {
        Member member = endpoint.member();
        if (endpoints.get(member.id()) == endpoint && startMillis > member.startMillis()) {
            replaceRestarted(endpoint, member.restartedAt(startMillis), "report");
        }
    }

    private void replaceRestarted(Endpoint before, Member member, String source) {
        logger.atInfo().log(
                "event=endpoint-started-again endpoint=%s service=%s start_ms=%d before_ms=%d source=%s outstanding=%d",
                member.id(),
                member.service(),
                member.startMillis(),
                before.member().startMillis(),
                source,
                before.outstanding());
        endpoints.put(member.id(), create(member));
        before.endIncarnation();
    }

    private Endpoint create(Member member) {
        logger.atInfo().log(
                "event=endpoint-added endpoint=%s service=%s address=%s zone=%s stage=%s leaving=%s",
                member.id(), member.service(), member.address(), member.zone(), member.stage(), member.draining());
        Endpoint endpoint = new Endpoint(connector, member);
        endpoint.maxConnections(maxConnections.getOrDefault(member.service(), Integer.MAX_VALUE));
        return endpoint;
    }

    /** Sets how many connections this entry may have open to each endpoint of a service. */
    public void maxConnections(String service, int most) {
        maxConnections.put(service, most);
        all(service).forEach(endpoint -> endpoint.maxConnections(most));
    }

    private void remove(String id) {
        Endpoint gone = endpoints.remove(id);
        if (gone != null) {
            logger.atInfo().log(
                    "event=endpoint-gone endpoint=%s service=%s",
                    id, gone.member().service());
            gone.close();
        }
    }

    /** Returns whether the endpoint may still take new work. */
    public boolean usable(Endpoint endpoint) {
        return !endpoint.member().draining()
                && !endpoint.misdirected()
                && endpoints.get(endpoint.member().id()) == endpoint;
    }

    /** Returns a service's endpoints of a stage that take new work. */
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

    /** Returns all endpoints of a service, those that leave included. */
    public List<Endpoint> all(String service) {
        return endpoints.values().stream()
                .filter(endpoint -> endpoint.member().service().equals(service))
                .toList();
    }

    /** Returns the services that have endpoints with stages. */
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
