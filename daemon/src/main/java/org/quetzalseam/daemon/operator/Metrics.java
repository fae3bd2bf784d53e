package org.quetzalseam.daemon.operator;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.quetzalseam.core.admission.WorkClass;
import org.quetzalseam.core.attempt.Outcome;

/**
 * Collects the metrics of a process and exports them in the Prometheus text format. Thread-safe.
 *
 * <p>Histograms and counters are kept for each owner and class. Owners come from the catalogue; beyond a fixed number of
 * owners all others share one label, so that the number of time series stays bounded.
 */
public final class Metrics {
    private static final int MAX_OWNERS = 500;
    private static final String OTHER_OWNERS = "other";
    private static final Duration[] FIRST_OUTPUT_BUCKETS = millis(5, 20, 50, 100, 200, 500, 1300, 3000, 8000, 20000);
    private static final Duration[] STEADY_BUCKETS = millis(5, 10, 20, 30, 50, 69, 100, 200, 500);

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Set<String> owners = ConcurrentHashMap.newKeySet();

    private static Duration[] millis(int... values) {
        Duration[] durations = new Duration[values.length];
        for (int i = 0; i < values.length; i++) {
            durations[i] = Duration.ofMillis(values[i]);
        }
        return durations;
    }

    private String ownerLabel(String name) {
        if (owners.contains(name) || (owners.size() < MAX_OWNERS && owners.add(name))) {
            return name;
        }
        return OTHER_OWNERS;
    }

    private Timer timer(String name, Duration[] buckets, String owner, WorkClass workClass) {
        return Timer.builder(name)
                .serviceLevelObjectives(buckets)
                .tag("owner", ownerLabel(owner))
                .tag("class", workClass.label())
                .register(registry);
    }

    /** Records the time from a request's arrival to its first output. */
    public void firstOutput(String owner, WorkClass workClass, Duration time) {
        timer("quetzalseam.first.output", FIRST_OUTPUT_BUCKETS, owner, workClass)
                .record(time);
    }

    /** Records the mean time between consecutive outputs of one request. */
    public void steadyOutput(String owner, WorkClass workClass, Duration time) {
        timer("quetzalseam.steady.output", STEADY_BUCKETS, owner, workClass).record(time);
    }

    /** Records the time that a request waited to be admitted. */
    public void queueWait(String owner, WorkClass workClass, Duration time) {
        timer("quetzalseam.queue.wait", FIRST_OUTPUT_BUCKETS, owner, workClass).record(time);
    }

    /** Counts a request by its outcome and by whether it met its latency targets. */
    public void outcome(String owner, WorkClass workClass, Outcome outcome, boolean good) {
        Counter.builder("quetzalseam.requests")
                .tag("owner", ownerLabel(owner))
                .tag("class", workClass.label())
                .tag("outcome", outcome.label())
                .tag("good", Boolean.toString(good))
                .register(registry)
                .increment();
    }

    /** Counts a refusal by its reason. Reasons must come from a fixed set, since each is a label value. */
    public void refusal(String reason) {
        Counter.builder("quetzalseam.refusals")
                .tag("reason", reason)
                .register(registry)
                .increment();
    }

    /** Counts prefilled prompt tokens by whether the result was discarded before use. */
    public void prefilled(int tokens, boolean wasted) {
        Counter.builder("quetzalseam.prefill.tokens")
                .tag("wasted", Boolean.toString(wasted))
                .register(registry)
                .increment(tokens);
    }

    /** Counts a retry by its reason. */
    public void retry(String reason) {
        Counter.builder("quetzalseam.retries")
                .tag("reason", reason)
                .register(registry)
                .increment();
    }

    /** Counts what a limit on connections or their memory has closed or refused; limits are of a fixed set. */
    public void limitReached(String limit) {
        Counter.builder("quetzalseam.limits.reached")
                .tag("limit", limit)
                .register(registry)
                .increment();
    }

    /** Registers a gauge whose value is read at each scrape. */
    public void gauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String scrape() {
        return registry.scrape();
    }
}
