package org.quetzalseam.cli.load;

import java.util.List;
import org.HdrHistogram.Histogram;
import org.quetzalseam.core.catalogue.Targets;

/**
 * Outcomes of all requests of one kind. Immutable.
 *
 * @param name name of the kind
 * @param count number of requests sent
 * @param answered complete answers
 * @param good complete answers within both latency targets
 * @param notRun requests reported as not run
 * @param incomplete requests reported as incomplete
 * @param unknown requests whose result was reported as unknown
 * @param cutOff connections that broke without a response that states the outcome
 * @param wrong answers that belonged to another request or were not complete although they claimed to be
 * @param first times to the first output, in milliseconds: median and 95th percentile
 * @param steady mean times between successive outputs, in milliseconds: median and 95th percentile
 */
public record Summary(
        String name,
        int count,
        int answered,
        int good,
        int notRun,
        int incomplete,
        int unknown,
        int cutOff,
        int wrong,
        Quantiles first,
        Quantiles steady) {
    private static final double MICROS_PER_MILLI = 1000;
    private static final int MEDIAN = 50;
    private static final int TAIL = 95;

    /**
     * Two quantiles of a distribution of times, in milliseconds.
     *
     * @param p50 the median
     * @param p95 the 95th percentile
     */
    public record Quantiles(double p50, double p95) {}

    /** Summarizes samples; those within the given targets count as good. */
    public static Summary of(String name, List<Sample> samples, Targets targets) {
        Histogram first = new Histogram(3);
        Histogram steady = new Histogram(3);
        int good = 0;
        for (Sample sample : samples) {
            if (sample.outcome() != CallerOutcome.ANSWERED) {
                continue;
            }
            first.recordValue((long) (sample.firstMillis() * MICROS_PER_MILLI));
            steady.recordValue((long) (sample.steadyMillis() * MICROS_PER_MILLI));
            good += isGood(sample, targets) ? 1 : 0;
        }
        return new Summary(
                name,
                samples.size(),
                count(samples, CallerOutcome.ANSWERED),
                good,
                count(samples, CallerOutcome.NOT_RUN),
                count(samples, CallerOutcome.INCOMPLETE),
                count(samples, CallerOutcome.UNKNOWN),
                count(samples, CallerOutcome.CUT_OFF),
                count(samples, CallerOutcome.WRONG),
                quantiles(first),
                quantiles(steady));
    }

    /** Returns whether a request was answered within both latency targets. */
    public static boolean isGood(Sample sample, Targets targets) {
        return sample.outcome() == CallerOutcome.ANSWERED
                && sample.firstMillis() <= targets.firstOutputMillis()
                && sample.steadyMillis() <= targets.steadyOutputMillis();
    }

    private static Quantiles quantiles(Histogram micros) {
        return new Quantiles(
                micros.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(TAIL) / MICROS_PER_MILLI);
    }

    private static int count(List<Sample> samples, CallerOutcome outcome) {
        return (int)
                samples.stream().filter(sample -> sample.outcome() == outcome).count();
    }
}
