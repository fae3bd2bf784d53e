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
 * Divides one service's engines between the prefill and decode stages while this entry holds the lease. Used on the event loop
 * only.
 *
 * <p>If no entry can hold the lease, engines stay in their stages and everything else continues.
 */
final class StageController {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How often the holder requests the engines' load, in milliseconds: the reports themselves are about that old. */
    private static final long SAMPLE_INTERVAL_MILLIS = 1_000;
    /**
     * How long no further order is sent after an order, in milliseconds: longer than the greatest delay until an order is executed,
     * and longer than an engine takes to change its stage.
     */
    private static final long ORDER_COOLDOWN_MILLIS = 14_000;

    /** Time limit of an engine's answer, in milliseconds: less than the time between two samples. */
    private static final long ANSWER_TIMEOUT_MILLIS = 700;

    private static final int MAX_REPLY_BYTES = 64 * 1024;
    private static final int STATUS_ACCEPTED = 202;
    /** Status of an engine that is in the stage already or is changing to it. */
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
    /** Orders of the last round that their engines have not rejected, and so may execute. */
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
        // An engine that states a limit is spared reports, so that it can run callers' requests instead.
        List<Endpoint> engines =
                engines().stream().filter(engine -> !engine.limits().limited()).toList();
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

    /**
     * Records a report, which counts only for the incarnation that gave it. A report of a newer incarnation ends the previous one,
     * however low its counts are.
     */
    private void onReport(Endpoint engine, EngineLoad load) {
        long knownStartMillis = engine.member().startMillis();
        if (load.startMillis() == knownStartMillis) {
            loads.put(engine, load);
        } else if (load.startMillis() > knownStartMillis) {
            directory.recordRestart(engine, load.startMillis());
        } else {
            logger.atInfo().log(
                    "event=load-outlived service=%s endpoint=%s start_ms=%d known_ms=%d",
                    service, engine.member().id(), load.startMillis(), knownStartMillis);
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
        // Without a report of each engine the demand on the stages is not known.
        boolean allReport =
                engines().stream().noneMatch(engine -> engine.limits().limited());
        if (allReport && timers.now() - cooldownEndNanos >= 0) {
            List<StageSplit.Change> changes = split.decide(samples);
            if (!changes.isEmpty()) {
                // The orders are sent in the event loop call in which the store confirms the lease, or not at all.
                lease.renew(() -> sendOrders(changes));
            }
        }
    }

    /**
     * Returns the name under which an engine is sampled: that of its incarnation, because a decision made for an engine does not
     * apply to it after a restart.
     */
    private static String sampleName(Endpoint engine) {
        return engine.member().incarnation().toString();
    }

    private void sendOrders(List<StageSplit.Change> changes) {
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
     * Sends an order only to the incarnation of the engine whose report it is based on. The engine's id and the count of orders
     * that the order states do not prove which incarnation accepts it: any incarnation that has accepted as many orders matches,
     * most easily one that has accepted none. The order is therefore sent over the connection that delivered the report. Where the
     * platform itself delays an order past a restart, a count above zero still identifies the incarnation, because nobody sends
     * another order within {@link #ORDER_COOLDOWN_MILLIS}; a count of zero does not, and the engine may then change its stage once
     * unnecessarily.
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
        if (load == null || report == null || engine.get().limits().limited()) {
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

    /** Ends the cooldown once all orders of the round are rejected, because a rejected order is never executed. */
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
