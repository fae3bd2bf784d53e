package org.quetzalseam.gateway.stage;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.generation.EngineSample;
import org.quetzalseam.core.generation.StageSplit;
import org.quetzalseam.gateway.endpoint.Directory;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.endpoint.EndpointCall;
import org.quetzalseam.gateway.http.CallFailure;
import org.quetzalseam.gateway.http.ReplyCollector;
import org.quetzalseam.gateway.protocol.EngineLoad;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.route.EntrySettings;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.ObjectStore;

/**
 * Keeps one service's engines divided between stages, while this entry holds the lease. Used on the event loop only.
 *
 * <p>If nobody can hold the lease, engines stay as they are and everything else goes on.
 */
final class StageController {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How often the holder asks engines for their load, in milliseconds: their reports are about that old themselves. */
    private static final long SAMPLE_INTERVAL_MILLIS = 1_000;
    /**
     * How long after an order no other is given, in milliseconds: longer than an order may be carried out late, and than an
     * engine takes to change.
     */
    private static final long ORDER_COOLDOWN_MILLIS = 14_000;

    /** How long an engine may take to answer, in milliseconds: less than the time between two samples. */
    private static final long ANSWER_TIMEOUT_MILLIS = 700;

    private static final int MAX_REPLY_BYTES = 64 * 1024;
    private static final int STATUS_ACCEPTED = 202;
    /** The engine is in the stage already, or on its way there. */
    private static final int STATUS_ALREADY_IN_STAGE = 200;

    private final Timers timers;
    private final Directory directory;
    private final Protocol protocol;
    private final String service;
    private final String entryName;
    private final StageLease lease;
    private final StageSplit split;
    private final Map<Endpoint, EngineLoad> loads = new HashMap<>();
    private final Map<Endpoint, EndpointCall> reports = new HashMap<>();
    private long cooldownEndNanos;
    /** Orders of the last round that an engine may carry out. */
    private int ordersNotRejected;

    private int outstandingReports;

    StageController(
            Timers timers,
            Directory directory,
            Protocol protocol,
            ObjectStore store,
            String service,
            EntrySettings settings) {
        this.timers = timers;
        this.directory = directory;
        this.protocol = protocol;
        this.service = service;
        this.entryName = settings.name();
        this.lease = new StageLease(timers, store, service, entryName, settings.firstStart());
        this.split = new StageSplit(settings.prefillShare());
    }

    void start() {
        maintainLease();
        timers.every(StageLease.RENEW_INTERVAL_MILLIS, this::maintainLease);
        timers.every(SAMPLE_INTERVAL_MILLIS, this::sample);
    }

    void maintainLease() {
        lease.maintain();
    }

    void sample() {
        if (!lease.held() || outstandingReports > 0) {
            return;
        }
        loads.clear();
        reports.clear();
        List<Endpoint> engines = engines();
        outstandingReports = engines.size();
        for (Endpoint engine : engines) {
            EndpointCall report = engine.sendControl(
                    protocol.reportLoad(engine.member().id()),
                    ANSWER_TIMEOUT_MILLIS,
                    new ReplyCollector(
                            MAX_REPLY_BYTES,
                            (head, body) -> {
                                String text = ReplyCollector.text(body);
                                body.release();
                                protocol.load(text).ifPresent(load -> onReport(engine, load));
                                reportCompleted();
                            },
                            failure -> onReportFailed(engine, failure)));
            reports.put(engine, report);
        }
    }

    /** A report counts only for the life that it is of. A newer life's ends the earlier one, however low its counts. */
    private void onReport(Endpoint engine, EngineLoad load) {
        long known = engine.member().startMillis();
        if (load.startMillis() == known) {
            loads.put(engine, load);
        } else if (load.startMillis() > known) {
            directory.recordRestart(engine, load.startMillis());
        } else {
            logger.atInfo().log(
                    "event=load-outlived service=%s endpoint=%s start_ms=%d known_ms=%d",
                    service, engine.member().id(), load.startMillis(), known);
        }
    }

    private void onReportFailed(Endpoint engine, CallFailure failure) {
        logger.atInfo().log(
                "event=load-unknown service=%s endpoint=%s kind=%s",
                service, engine.member().id(), failure.kind());
        reportCompleted();
    }

    private List<Endpoint> engines() {
        List<Endpoint> engines = new ArrayList<>(directory.usable(service, Stage.PREFILL));
        engines.addAll(directory.usable(service, Stage.DECODE));
        return engines;
    }

    private void reportCompleted() {
        outstandingReports--;
        if (outstandingReports > 0) {
            return;
        }
        List<EngineSample> samples = new ArrayList<>();
        for (Endpoint engine : engines()) {
            EngineLoad load = loads.get(engine);
            if (load != null && !load.changing()) {
                double fill = load.memoryTotal() == 0 ? 0 : (double) load.memoryUsed() / load.memoryTotal();
                samples.add(new EngineSample(
                        sampleName(engine), engine.member().stage(), load.running(), load.queued(), fill));
            }
        }
        split.observe(samples);
        if (timers.now() - cooldownEndNanos >= 0) {
            List<StageSplit.Change> changes = split.decide(samples);
            if (!changes.isEmpty()) {
                // The orders leave in the same turn in which the store confirms the lease, or not at all.
                lease.renew(() -> sendOrder(changes));
            }
        }
    }

    /** An engine that has started again is another one: what was decided for its earlier life isn't for it. */
    private static String sampleName(Endpoint engine) {
        return engine.member().incarnation().toString();
    }

    private void sendOrder(List<StageSplit.Change> changes) {
        if (!lease.mayOrder()) {
            return;
        }
        ordersNotRejected = 0;
        for (StageSplit.Change change : changes) {
            ordersNotRejected += sendOrder(change) ? 1 : 0;
        }
        if (ordersNotRejected > 0) {
            cooldownEndNanos = timers.now() + ORDER_COOLDOWN_MILLIS * 1_000_000;
            split.stageChanged();
        }
    }

    /**
     * Sends an order to the life of the engine whose report it rests on, and to no other. Its id and the count of orders that
     * it names don't prove which life takes it: a life that has accepted as many, none above all, would do as well. So it
     * leaves over the connection that brought the report. Where the platform itself holds an order up past a restart, a count
     * above zero still proves it, as nobody orders again within {@link #ORDER_COOLDOWN_MILLIS}; a count of zero doesn't, and the
     * engine may then change stage once without need.
     *
     * @return whether it was sent
     */
    private boolean sendOrder(StageSplit.Change change) {
        Optional<Endpoint> engine = engines().stream()
                .filter(candidate -> sampleName(candidate).equals(change.engine()))
                .findFirst();
        if (engine.isEmpty()) {
            return false;
        }
        EngineLoad load = loads.get(engine.get());
        EndpointCall report = reports.get(engine.get());
        if (load == null || report == null) {
            return false;
        }
        FullHttpRequest order = protocol.changeStage(
                change.stage(),
                entryName,
                lease.epoch(),
                load.orders(),
                engine.get().member().id());
        boolean sent = engine.get()
                .sendControlAfter(
                        report,
                        order,
                        ANSWER_TIMEOUT_MILLIS,
                        new ReplyCollector(
                                MAX_REPLY_BYTES,
                                (head, body) -> {
                                    body.release();
                                    onOrderAnswered(change, head.status().code());
                                },
                                failure -> onOrderFailed(change, failure)));
        logger.atInfo().log(
                "event=stage-order service=%s endpoint=%s stage=%s epoch=%d sent=%s %s",
                service, change.engine(), change.stage(), lease.epoch(), sent, change.reason());
        return sent;
    }

    /** An order that its engine has turned away is never carried out: if that is true of all of them, nothing needs to rest. */
    private void onOrderAnswered(StageSplit.Change change, int status) {
        if (status != STATUS_ACCEPTED && status != STATUS_ALREADY_IN_STAGE) {
            ordersNotRejected--;
            if (ordersNotRejected == 0) {
                cooldownEndNanos = timers.now();
            }
        }
        logger.atInfo().log(
                "event=stage-order-answered service=%s endpoint=%s accepted=%s status=%d",
                service, change.engine(), status == STATUS_ACCEPTED, status);
    }

    private void onOrderFailed(StageSplit.Change change, CallFailure failure) {
        logger.atInfo().log(
                "event=stage-order-unanswered service=%s endpoint=%s kind=%s",
                service, change.engine(), failure.kind());
    }
}
