package org.quetzalseam.cli.site;

import java.util.Optional;
import org.quetzalseam.daemon.settings.Settings.BackendKind;
import org.quetzalseam.standins.EngineCosts;
import org.quetzalseam.standins.EngineStandIn;
import org.quetzalseam.standins.ServiceStandIn;

/** The engine or service stand-in of one endpoint VM. Thread-safe. */
public final class BackendVm {
    private static final long SERVICE_TIME_MILLIS = 3;

    private final BackendKind kind;
    private final Optional<EngineStandIn> engine;
    private final Optional<ServiceStandIn> service;

    BackendVm(BackendKind kind, EngineCosts costs, Site site) {
        this.kind = kind;
        boolean isService = kind == BackendKind.SERVICE;
        this.engine = isService ? Optional.empty() : Optional.of(new EngineStandIn(costs, site.registry()));
        boolean repeats = site.options().repeatedAnswers();
        this.service = isService
                ? Optional.of(new ServiceStandIn(site.ledger(), SERVICE_TIME_MILLIS, repeats))
                : Optional.empty();
    }

    BackendKind kind() {
        return kind;
    }

    String url() {
        return engine.map(EngineStandIn::url)
                .or(() -> service.map(ServiceStandIn::url))
                .orElseThrow();
    }

    /** Returns whether the backend is an engine rather than a service. */
    public boolean isEngine() {
        return engine.isPresent();
    }

    /** Returns the engine. Throws if the backend is a service. */
    public EngineStandIn engine() {
        return engine.orElseThrow();
    }

    /** Returns the service. Throws if the backend is an engine. */
    public ServiceStandIn service() {
        return service.orElseThrow();
    }

    void stop() {
        engine.ifPresent(EngineStandIn::stop);
        service.ifPresent(ServiceStandIn::stop);
    }
}
