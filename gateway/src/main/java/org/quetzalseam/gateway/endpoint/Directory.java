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

/** The endpoints that this entry may use, by service and stage. Used on the event loop only. */
public final class Directory {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Connector connector;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Map<String, Integer> mostConnections = new HashMap<>();
    private boolean known;

    /** Creates an empty directory. */
    public Directory(Connector connector) {
        this.connector = connector;
    }

    /** Returns whether the endpoints have been learnt since the start of the process. */
    public boolean known() {
        return known;
    }

    /** Takes the members as they are now. */
    public void update(Collection<Member> members) {
        known = true;
        Set<String> listed = new HashSet<>();
        for (Member member : members) {
            listed.add(member.id());
            Endpoint endpoint = endpoints.computeIfAbsent(member.id(), id -> added(member));
            if (!endpoint.member().equals(member)) {
                logger.atInfo().log(
                        "event=endpoint-changed endpoint=%s service=%s leaving=%s stage=%s",
                        member.id(), member.service(), member.leaving(), member.stage());
            }
            endpoint.member(member);
        }
        for (String id : List.copyOf(endpoints.keySet())) {
            if (!listed.contains(id)) {
                drop(id);
            }
        }
    }

    private Endpoint added(Member member) {
        logger.atInfo().log(
                "event=endpoint-added endpoint=%s service=%s address=%s zone=%s stage=%s leaving=%s",
                member.id(), member.service(), member.address(), member.zone(), member.stage(), member.leaving());
        Endpoint endpoint = new Endpoint(connector, member);
        endpoint.mostConnections(mostConnections.getOrDefault(member.service(), Integer.MAX_VALUE));
        return endpoint;
    }

    /** Sets how many connections this entry may have open to each endpoint of a service. */
    public void mostConnections(String service, int most) {
        mostConnections.put(service, most);
        all(service).forEach(endpoint -> endpoint.mostConnections(most));
    }

    private void drop(String id) {
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
        return !endpoint.member().leaving() && endpoints.get(endpoint.member().id()) == endpoint;
    }

    /** Returns a service's endpoints of a stage that take new work. */
    public List<Endpoint> usable(String service, Stage stage) {
        List<Endpoint> found = new ArrayList<>();
        for (Endpoint endpoint : endpoints.values()) {
            Member member = endpoint.member();
            if (!member.leaving() && member.stage() == stage && member.service().equals(service)) {
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
