package org.quetzalseam.cli.load;

import java.util.List;
import org.HdrHistogram.Histogram;
import org.quetzalseam.core.catalogue.Targets;

/**
 * What became of one kind of requests. Immutable.
 *
 * @param name the kind
 * @param count requests sent
 * @param answered whole answers
 * @param good whole answers within both latency targets
 * @param notRun requests that were refused as not run
 * @param incomplete requests told to be incomplete
 * @param unknown requests told to be unknown
 * @param cutOff connections that broke without a word
 * @param wrong answers that were not the request's own or not whole
 * @param first times to the first output, in milliseconds: median and 95th percentile
 * @param steady times between later outputs, in milliseconds: median and 95th percentile
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

    /** Summarizes samples, to be judged by the given targets. */
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

    /** Returns whether a request was answered within both targets. */
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

    private static int count(List<Sample> samples, CallerOutcome told) {
        return (int) samples.stream().filter(sample -> sample.outcome() == told).count();
    }
}
