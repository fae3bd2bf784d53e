package org.quetzalseam.gateway.route;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.http.WholeReply;
import org.quetzalseam.gateway.protocol.EngineLoad;

/**
 * Learns how much memory a service's decode engines have, from the report of one of them now and then: the engines of a service are
 * alike. Used on the event loop only.
 */
final class EngineMemory {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How often a report is asked for until one has come, in milliseconds. */
    private static final long LOOK_MILLIS = 1_000;
    /** How long a report is believed, in nanoseconds: engines are replaced by others of another size in a day's work, not in minutes. */
    private static final long BELIEVED_NANOS = TimeUnit.MINUTES.toNanos(10);
    /** How long an engine may take to answer, in milliseconds: less than the time between two looks. */
    private static final long ANSWER_MILLIS = 700;

    private static final int MAX_REPLY_BYTES = 64 * 1024;

    private final RunContext context;
    private final String service;
    private final LongConsumer learnt;
    private long tokens;
    private long heardAt;

    EngineMemory(RunContext context, String service, LongConsumer learnt) {
        this.context = context;
        this.service = service;
        this.learnt = learnt;
    }

    void start() {
        look();
        context.timers().every(LOOK_MILLIS, this::look);
    }

    private void look() {
        List<Endpoint> engines = context.directory().usable(service, Stage.DECODE);
        boolean known = tokens > 0 && context.now() - heardAt < BELIEVED_NANOS;
        if (known || engines.isEmpty()) {
            return;
        }
        Endpoint engine = engines.get(ThreadLocalRandom.current().nextInt(engines.size()));
        engine.control(
                context.protocol().reportLoad(engine.member().id()),
                ANSWER_MILLIS,
                new WholeReply(
                        MAX_REPLY_BYTES,
                        (head, body) -> {
                            String text = WholeReply.text(body);
                            body.release();
                            context.protocol().load(text).ifPresent(this::heard);
                        },
                        failure -> logger.atInfo().log(
                                "event=memory-unknown service=%s endpoint=%s kind=%s",
                                service, engine.member().id(), failure.kind())));
    }

    private void heard(EngineLoad load) {
        if (load.memoryTotal() <= 0) {
            return;
        }
        heardAt = context.now();
        if (load.memoryTotal() != tokens) {
            tokens = load.memoryTotal();
            logger.atInfo().log("event=engine-memory service=%s tokens=%d", service, tokens);
            learnt.accept(tokens);
        }
    }
}
