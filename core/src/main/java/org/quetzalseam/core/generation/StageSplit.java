package org.quetzalseam.core.generation;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.quetzalseam.core.fleet.Stage;

/**
 * Decides how many of a service's engines prefill and how many decode. Not thread-safe.
 *
 * <p>Before any load has been observed, the split follows the share that the operators configure. Then it follows the
 * load: prefill engines that can be spared change to decode when decode memory is short, and back when prompts wait
 * while decode memory is free. A pool that has lost its last prefill engine gets one back at once. A change takes
 * engines out of service for seconds, so a decision needs a window of samples and a clear case, and moves only a part
 * of the engines; it may move several, because in a large pool one engine at a time would follow the load only within
 * minutes.
 */
public final class StageSplit {
    /** Weight of the newest sample: with one sample per second, about the last six seconds count. */
    private static final double NEWEST_WEIGHT = 0.25;
    /** Samples after the start or a change before the load decides: until the averages have settled. */
    private static final int SETTLE_SAMPLES = 8;
    /**
     * Samples for which the set of engines must not have changed before the assumed share is followed: at a start they
     * register one by one.
     */
    private static final int UNCHANGED_SAMPLES = 3;
    /**
     * Share of the time that prefill engines may be busy after one of them has been moved: room for bursts of twice the
     * mean.
     */
    private static final double SPARE_PREFILL_BUSY = 0.5;
    /** Use of decode memory above which another decode engine is wanted. */
    private static final double SHORT_FILL = 0.6;
    /** Share of the time that prefill engines are busy above which another one is wanted. */
    private static final double SHORT_PREFILL_BUSY = 0.85;
    /** Use of decode memory, after an engine has been moved, below which it can be spared. */
    private static final double SPARE_FILL = 0.55;

    /**
     * Maximum share of a pool's engines that change at once: the others must be able to do without those that are out
     * of service.
     */
    private static final double MAX_MOVED_SHARE = 0.125;

    private final double assumedPrefillShare;
    /** Moving average of the number of busy prefill engines. */
    private double meanBusyPrefill;
    /** Moving average of the decode engines' use of memory, from 0 to 1. */
    private double meanFill;

    private int samples;
    private boolean loadSeen;
    private Set<String> knownEngines = Set.of();
    private int unchangedSamples;

    /**
     * Change of one engine's stage. Immutable.
     *
     * @param engine the engine's id
     * @param stage its new stage
     * @param reason the figures that decided it, for the log
     */
    public record Change(String engine, Stage stage, String reason) {}

    /** Creates a split that starts from the assumed share of prefill engines, between 0 and 1, exclusive. */
    public StageSplit(double assumedPrefillShare) {
        if (!(assumedPrefillShare > 0 && assumedPrefillShare < 1)) {
            throw new IllegalArgumentException("prefill share: expected 0 to 1, got " + assumedPrefillShare);
        }
        this.assumedPrefillShare = assumedPrefillShare;
    }

    /** Records which engines there are: the assumed share is not followed while the set of engines changes. */
    private void noteEngines(List<EngineSample> engines) {
        Set<String> present = engines.stream().map(EngineSample::id).collect(Collectors.toSet());
        unchangedSamples = present.equals(knownEngines) ? unchangedSamples + 1 : 0;
        knownEngines = present;
    }

    /** Records the load of all engines at one moment; called about once a second. */
    public void observe(List<EngineSample> engines) {
        noteEngines(engines);
        double busyNow = count(engines, Stage.PREFILL, true);
        double fillNow = engines.stream()
                .filter(engine -> engine.stage() == Stage.DECODE)
                .mapToDouble(EngineSample::fill)
                .average()
                .orElse(0);
        loadSeen |= engines.stream().anyMatch(engine -> engine.running() > 0);
        if (!loadSeen) {
            return;
        }
        meanBusyPrefill += (samples == 0 ? 1 : NEWEST_WEIGHT) * (busyNow - meanBusyPrefill);
        meanFill += (samples == 0 ? 1 : NEWEST_WEIGHT) * (fillNow - meanFill);
        samples++;
    }

    private static double count(List<EngineSample> engines, Stage stage, boolean onlyBusy) {
        return engines.stream()
                .filter(engine -> engine.stage() == stage)
                .filter(engine -> !onlyBusy || engine.running() + engine.queued() > 0)
                .count();
    }

    /** Records that an engine's stage has been changed, so that earlier samples no longer count. */
    public void stageChanged() {
        samples = 0;
    }

    /** Returns the changes to make, possibly none; all of them are to the same stage. */
    public List<Change> decide(List<EngineSample> engines) {
        int prefill = (int) count(engines, Stage.PREFILL, false);
        int decode = (int) count(engines, Stage.DECODE, false);
        if (prefill + decode < 2) {
            return List.of();
        }
        return loadSeen ? byLoad(engines, prefill, decode) : byAssumption(engines, prefill, decode);
    }

    private static int maxMoves(int engines) {
        return Math.max(1, (int) (engines * MAX_MOVED_SHARE));
    }

    private List<Change> byAssumption(List<EngineSample> engines, int prefill, int decode) {
        if (unchangedSamples < UNCHANGED_SAMPLES) {
            return List.of();
        }
        int all = prefill + decode;
        int wanted = (int) Math.max(1, Math.min(all - 1, Math.round(all * assumedPrefillShare)));
        int moved = Math.min(Math.abs(prefill - wanted), maxMoves(all));
        String reason = "assumed=" + wanted + " prefill=" + prefill + " decode=" + decode;
        return prefill > wanted
                ? changes(engines, Stage.PREFILL, Stage.DECODE, moved, reason)
                : changes(engines, Stage.DECODE, Stage.PREFILL, moved, reason);
    }

    private List<Change> byLoad(List<EngineSample> engines, int prefill, int decode) {
        String reason =
                String.format("busy=%.2f fill=%.2f prefill=%d decode=%d", meanBusyPrefill, meanFill, prefill, decode);
        if (prefill == 0 && unchangedSamples >= UNCHANGED_SAMPLES) {
            // Regardless of decode memory use: in-place prefills delay every stream that a decode engine runs.
            return changes(engines, Stage.DECODE, Stage.PREFILL, 1, reason);
        }
        if (samples < SETTLE_SAMPLES) {
            return List.of();
        }
        if (meanFill > SHORT_FILL) {
            int moved = sparePrefill(prefill, decode);
            return isWorthMoving(prefill, decode, moved)
                    ? changes(engines, Stage.PREFILL, Stage.DECODE, moved, reason)
                    : List.of();
        }
        if (prefill > 0 && meanBusyPrefill / prefill > SHORT_PREFILL_BUSY) {
            return changes(engines, Stage.DECODE, Stage.PREFILL, spareDecode(prefill, decode), reason);
        }
        return List.of();
    }

    /**
     * Returns whether a change reduces the use of the fuller pool by more than the share of all engines that it takes
     * out of service. Where it does not, as with one of two prefill engines and a decode pool that is filled to three
     * fifths, the next burst finds the other pool short, and an engine that is moved back is out of service once more.
     */
    private boolean isWorthMoving(int prefill, int decode, int moved) {
        double before = Math.max(meanBusyPrefill / prefill, meanFill);
        double after = Math.max(meanBusyPrefill / (prefill - moved), meanFill * decode / (decode + moved));
        return before - after > (double) moved / (prefill + decode);
    }

    /** Returns how many prefill engines can be spared. */
    private int sparePrefill(int prefill, int decode) {
        int spare = 0;
        while (spare < maxMoves(prefill + decode)
                && prefill - spare > 1
                && meanBusyPrefill / (prefill - spare - 1) < SPARE_PREFILL_BUSY) {
            spare++;
        }
        return spare;
    }

    /** Returns how many decode engines can be spared. */
    private int spareDecode(int prefill, int decode) {
        int spare = 0;
        while (spare < maxMoves(prefill + decode)
                && decode - spare > 1
                && meanFill * decode / (decode - spare - 1) < SPARE_FILL) {
            spare++;
        }
        return spare;
    }

    /**
     * Selects the least loaded engines to change; among equals those with the lowest ids, so that every process selects
     * the same.
     */
    private static List<Change> changes(List<EngineSample> engines, Stage from, Stage to, int count, String reason) {
        return engines.stream()
                .filter(engine -> engine.stage() == from)
                .sorted(Comparator.comparingInt(EngineSample::running)
                        .thenComparingDouble(EngineSample::fill)
                        .thenComparing(EngineSample::id))
                .limit(count)
                .map(engine -> new Change(engine.id(), to, reason))
                .toList();
    }
}
