package org.quetzalseam.core.generation;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.quetzalseam.core.fleet.Stage;

/**
 * Decides how many of a service's engines read prompts and how many decode. Not thread-safe.
 *
 * <p>Before any load has been seen it follows the share that the operators assume. Then it follows the load: prefill engines
 * that the others can do without go to decoding when decode memory is short, and back when prompts wait while decode memory
 * is free. A pool whose last prefill engine is lost gets one back at once. A change takes engines out for seconds, so a decision needs a window of samples and a clear case, and moves a part
 * of the engines at most; in a large pool one engine at a time would follow the load in minutes.
 */
public final class StageSplit {
    /** Weight of the newest sample: with a sample a second, about the last six seconds count. */
    private static final double NEWEST_WEIGHT = 0.25;
    /** Samples after a change, or at first, before load decides: until the averages have taken hold. */
    private static final int SETTLE_SAMPLES = 8;
    /** Samples for which the engines must have been the same before the assumption is followed: at a start they come one by one. */
    private static final int UNCHANGED_SAMPLES = 3;
    /** Share of the time that prefill engines may be busy after one of them has left: room for bursts of twice the mean. */
    private static final double SPARE_PREFILL_BUSY = 0.5;
    /** Use of decode memory from which another decode engine is wanted. */
    private static final double SHORT_FILL = 0.6;
    /** Share of the time that prefill engines are busy from which another one is wanted. */
    private static final double SHORT_PREFILL_BUSY = 0.85;
    /** Use of decode memory, after one engine has left, up to which one can be spared. */
    private static final double SPARE_FILL = 0.55;

    /** Part of a pool's engines that change at once: what is out meanwhile must not be missed. */
    private static final double MAX_MOVED_SHARE = 0.125;

    private final double assumedPrefillShare;
    private double busy;
    private double fill;
    private int samples;
    private boolean loadSeen;
    private Set<String> knownEngines = Set.of();
    private int unchangedSamples;

    /**
     * An engine's change of stage. Immutable.
     *
     * @param engine the engine's id
     * @param stage its new stage
     * @param reason the figures that decided it, for the log
     */
    public record Change(String engine, Stage stage, String reason) {}

    /** Creates a decision that starts from the assumed share of prefill engines, between 0 and 1. */
    public StageSplit(double assumedPrefillShare) {
        if (!(assumedPrefillShare > 0 && assumedPrefillShare < 1)) {
            throw new IllegalArgumentException("prefill share: expected 0 to 1, got " + assumedPrefillShare);
        }
        this.assumedPrefillShare = assumedPrefillShare;
    }

    /** Notes which engines there are; while their number grows or shrinks no assumption is followed. */
    private void noteEngines(List<EngineSample> engines) {
        Set<String> present = engines.stream().map(EngineSample::id).collect(Collectors.toSet());
        unchangedSamples = present.equals(knownEngines) ? unchangedSamples + 1 : 0;
        knownEngines = present;
    }

    /** Takes the load of all engines at a moment, about once a second. */
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
        busy += (samples == 0 ? 1 : NEWEST_WEIGHT) * (busyNow - busy);
        fill += (samples == 0 ? 1 : NEWEST_WEIGHT) * (fillNow - fill);
        samples++;
    }

    private static double count(List<EngineSample> engines, Stage stage, boolean onlyBusy) {
        return engines.stream()
                .filter(engine -> engine.stage() == stage)
                .filter(engine -> !onlyBusy || engine.running() + engine.queued() > 0)
                .count();
    }

    /** Notes that an engine's stage has been changed: what was seen before counts no more. */
    public void stageChanged() {
        samples = 0;
    }

    /** Returns the changes that are called for, possibly none; all of them go the same way. */
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
        String reason = String.format("busy=%.2f fill=%.2f prefill=%d decode=%d", busy, fill, prefill, decode);
        if (prefill == 0 && unchangedSamples >= UNCHANGED_SAMPLES) {
            // However full the others are: prompts read between their tokens hold up every stream that they run.
            return changes(engines, Stage.DECODE, Stage.PREFILL, 1, reason);
        }
        if (samples < SETTLE_SAMPLES) {
            return List.of();
        }
        if (fill > SHORT_FILL) {
            int moved = sparePrefill(prefill, decode);
            return isWorthMoving(prefill, decode, moved)
                    ? changes(engines, Stage.PREFILL, Stage.DECODE, moved, reason)
                    : List.of();
        }
        if (prefill > 0 && busy / prefill > SHORT_PREFILL_BUSY) {
            return changes(engines, Stage.DECODE, Stage.PREFILL, spareDecode(prefill, decode), reason);
        }
        return List.of();
    }

    /**
     * Returns whether the fuller pool's use falls by more than the part of all engines that is out meanwhile. Where it doesn't, as
     * with one of two prefill engines at a decode pool that is filled to three fifths, the next burst finds the other pool
     * short, and an engine sent back is out once more.
     */
    private boolean isWorthMoving(int prefill, int decode, int moved) {
        double before = Math.max(busy / prefill, fill);
        double after = Math.max(busy / (prefill - moved), fill * decode / (decode + moved));
        return before - after > (double) moved / (prefill + decode);
    }

    /** Returns how many prefill engines the others can do without. */
    private int sparePrefill(int prefill, int decode) {
        int spare = 0;
        while (spare < maxMoves(prefill + decode)
                && prefill - spare > 1
                && busy / (prefill - spare - 1) < SPARE_PREFILL_BUSY) {
            spare++;
        }
        return spare;
    }

    /** Returns how many decode engines the others can do without. */
    private int spareDecode(int prefill, int decode) {
        int spare = 0;
        while (spare < maxMoves(prefill + decode)
                && decode - spare > 1
                && fill * decode / (decode - spare - 1) < SPARE_FILL) {
            spare++;
        }
        return spare;
    }

    /** The engines with the least to do change; among equals those with the least ids, so that all would choose alike. */
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
