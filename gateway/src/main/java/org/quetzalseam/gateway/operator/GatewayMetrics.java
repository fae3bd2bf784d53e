package org.quetzalseam.gateway.operator;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * What an entry measures, in Prometheus form. Used on the event loop only.
 *
 * <p>Names of routes and services come from the operator; beyond a fixed number of them the rest share one label, so that the
 * number of series stays bounded.
 */
public final class GatewayMetrics {
    private static final int MAX_NAME_LABELS = 100;
    private static final String OTHER_LABEL = "other";
    /** Bounds of the histograms, in milliseconds: about a factor of two apart, from a network's time to a long stream's. */
    private static final Duration[] HISTOGRAM_BUCKETS =
            millis(5, 10, 20, 50, 100, 200, 400, 900, 2_000, 4_000, 8_000, 16_000);

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Set<String> names = new HashSet<>();
    private final Map<String, Timer> timers = new HashMap<>();
    private final Map<String, Counter> counters = new HashMap<>();

    private static Duration[] millis(int... values) {
        Duration[] durations = new Duration[values.length];
        for (int i = 0; i < values.length; i++) {
            durations[i] = Duration.ofMillis(values[i]);
        }
        return durations;
    }

    private String boundedLabel(String name) {
        if (names.contains(name) || (names.size() < MAX_NAME_LABELS && names.add(name))) {
            return name;
        }
        return OTHER_LABEL;
    }

    private Timer timer(String metric, String route) {
        String label = boundedLabel(route);
        return timers.computeIfAbsent(
                metric + label,
                key -> Timer.builder(metric)
                        .serviceLevelObjectives(HISTOGRAM_BUCKETS)
                        .tag("route", label)
                        .register(registry));
    }

    private void count(String metric, String nameTag, String name, String valueTag, String value) {
        count(metric, nameTag, name, valueTag, value, 1);
    }

    private void count(String metric, String nameTag, String name, String valueTag, String value, int by) {
        String label = boundedLabel(name);
        counters.computeIfAbsent(
                        metric + label + "/" + value,
                        key -> Counter.builder(metric)
                                .tag(nameTag, label)
                                .tag(valueTag, value)
                                .register(registry))
                .increment(by);
    }

    /** Notes a request's end: how, and how long after its arrival. */
    public void requestEnded(String route, String outcome, long millis) {
        count("quetzalseam.requests", "route", route, "outcome", outcome);
        timer("quetzalseam.answer.time", route).record(Duration.ofMillis(millis));
    }

    /** Notes the time from a stream's arrival to its first event. */
    public void firstEvent(String route, long millis) {
        timer("quetzalseam.first.event", route).record(Duration.ofMillis(millis));
    }

    /** Notes the longest pause between two events of a stream. */
    public void longestPause(String route, long millis) {
        timer("quetzalseam.longest.pause", route).record(Duration.ofMillis(millis));
    }

    /** Counts a try that an endpoint turned away, or that failed, by how. */
    public void failedAttempt(String service, String outcome) {
        count("quetzalseam.failed.tries", "service", service, "outcome", outcome);
    }

    /** Counts prompt tokens that were read and of which no whole answer came. */
    public void wastedPromptTokens(String service, int tokens) {
        count("quetzalseam.prompt.tokens", "service", service, "use", "in-vain", tokens);
    }

    /** Counts a call to the platform's store by what it asked for and how it ended. */
    public void storeCall(String kind, String outcome) {
        count("quetzalseam.store.calls", "kind", kind, "outcome", outcome);
    }

    /** Counts that the platform's store has come back from an older copy. */
    public void storeRestored() {
        count("quetzalseam.store.restores", "entry", "all", "reason", "older-copy");
    }

    /** Notes how long a generation waited for decode memory. */
    public void bookingWait(String route, long millis) {
        timer("quetzalseam.booking.wait", route).record(Duration.ofMillis(millis));
    }

    /** Counts a refusal by its reason, which must come from a fixed set. */
    public void requestRefused(String reason) {
        count("quetzalseam.refusals", "entry", "all", "reason", reason);
    }

    /** Counts a retry that the budget allowed, or didn't. */
    public void retry(String service, boolean allowed) {
        count("quetzalseam.retries", "service", service, "allowed", Boolean.toString(allowed));
    }

    /** Registers a figure that is read whenever the metrics are asked for. */
    public void gauge(String metric, Supplier<Number> value) {
        Gauge.builder(metric, value).strongReference(true).register(registry);
    }

    /** Returns all series as text. */
    public String text() {
        return registry.scrape();
    }
}
