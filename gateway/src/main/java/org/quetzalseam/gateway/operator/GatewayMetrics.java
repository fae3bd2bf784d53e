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
 * The metrics of an entry, in Prometheus format. Used on the event loop only.
 *
 * <p>The operator chooses the names of routes and services. Beyond {@code MAX_NAME_LABELS} names, all further ones share one
 * label value, so that the number of series stays bounded.
 */
public final class GatewayMetrics {
    private static final int MAX_NAME_LABELS = 100;
    private static final String OTHER_LABEL = "other";
    /**
     * Bucket bounds of the histograms: about a factor of two apart, from the time of a network round trip to the duration of a
     * long stream.
     */
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

    /** Records a request's outcome and the time from its arrival to its end. */
    public void requestEnded(String route, String outcome, long millis) {
        count("quetzalseam.requests", "route", route, "outcome", outcome);
        timer("quetzalseam.answer.time", route).record(Duration.ofMillis(millis));
    }

    /** Records the time from the arrival of a streaming request to its first event. */
    public void firstEvent(String route, long millis) {
        timer("quetzalseam.first.event", route).record(Duration.ofMillis(millis));
    }

    /** Records the longest pause between two events of a stream. */
    public void longestPause(String route, long millis) {
        timer("quetzalseam.longest.pause", route).record(Duration.ofMillis(millis));
    }

    /** Counts an attempt that an endpoint rejected or that failed, by its outcome. */
    public void failedAttempt(String service, String outcome) {
        count("quetzalseam.failed.tries", "service", service, "outcome", outcome);
    }

    /** Counts tokens of prompts that were prefilled without a complete answer coming of it. */
    public void wastedPromptTokens(String service, int tokens) {
        count("quetzalseam.prompt.tokens", "service", service, "use", "in-vain", tokens);
    }

    /** Counts a call to the platform's store by its kind and outcome. */
    public void storeCall(String kind, String outcome) {
        count("quetzalseam.store.calls", "kind", kind, "outcome", outcome);
    }

    /** Counts a restore of the platform's store from an older copy. */
    public void storeRestored() {
        count("quetzalseam.store.restores", "entry", "all", "reason", "older-copy");
    }

    /** Records how long a generation waited for decode memory. */
    public void bookingWait(String route, long millis) {
        timer("quetzalseam.booking.wait", route).record(Duration.ofMillis(millis));
    }

    /** Counts a refused request by its reason, which must come from a fixed set so that the number of series stays bounded. */
    public void requestRefused(String reason) {
        count("quetzalseam.refusals", "entry", "all", "reason", reason);
    }

    /** Counts a request of a team, by whether its allowance admitted it. */
    public void teamRequest(String team, boolean admitted) {
        count("quetzalseam.team.requests", "team", team, "admitted", Boolean.toString(admitted));
    }

    /** Counts a request without a key that is in force, by its reason, which must come from a fixed set. */
    public void keyRejected(String reason) {
        count("quetzalseam.keys.rejected", "entry", "all", "reason", reason);
    }

    /** Counts a stream that a caller took up, by whether and why it may go on. */
    public void streamTakenUp(String route, String outcome) {
        count("quetzalseam.streams.taken.up", "route", route, "outcome", outcome);
    }

    /** Counts a retry, by whether the retry budget allowed it. */
    public void retry(String service, boolean allowed) {
        count("quetzalseam.retries", "service", service, "allowed", Boolean.toString(allowed));
    }

    /** Counts a decision on a request of this entry for a place, or that nobody decided. */
    public void place(String service, String decision) {
        count("quetzalseam.places", "service", service, "decision", decision);
    }

    /** Counts what a limit on connections or their memory has closed or refused; limits are of a fixed set. */
    public void limitReached(String limit) {
        count("quetzalseam.limits.reached", "entry", "all", "limit", limit);
    }

    /** Registers a gauge, whose value is read whenever the metrics are requested. */
    public void gauge(String metric, Supplier<Number> value) {
        Gauge.builder(metric, value).strongReference(true).register(registry);
    }

    /** Returns all series in the Prometheus text format. */
    public String text() {
        return registry.scrape();
    }
}
