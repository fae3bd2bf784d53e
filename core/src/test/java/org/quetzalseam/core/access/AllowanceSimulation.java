package org.quetzalseam.core.access;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/** A simulation of entries that admit one team's requests, with a step of ten milliseconds and messages that take one step. */
final class AllowanceSimulation {
    /** How the allowance is divided among the entries. */
    enum Split {
        /** Equal parts, and loans between entries. */
        LENT,
        /** Equal parts without loans. */
        DIVIDED,
        /** The whole allowance at each entry. */
        WHOLE_AT_EACH
    }

    private static final long STEP_NANOS = 10_000_000L;
    private static final int STEPS = 6_000;
    private static final int WARM_UP_STEPS = 1_000;
    private static final int ENTRIES = 28;
    private static final int WINDOW_STEPS = 800;
    private static final long COST = 3_000;
    private static final AllowanceBounds BOUNDS = new AllowanceBounds(8, 0.1, 120_000);
    private static final Allowance ALLOWANCE = new Allowance(Allowance.Unit.TOKENS, 60_000, 60_000, 200);

    private final Random random;
    private final Split split;
    private final boolean faults;
    private final int usedEntries;
    private final double demandFactor;
    private final List<Entry> entries = new ArrayList<>();
    private final double[] admitted = new double[STEPS];
    private double asked;
    private double served;
    private int step;

    private AllowanceSimulation(long seed, Split split, boolean faults, int usedEntries, double demandFactor) {
        this.random = new Random(seed);
        this.split = split;
        this.faults = faults;
        this.usedEntries = usedEntries;
        this.demandFactor = demandFactor;
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new Entry(false));
        }
        run();
    }

    /** Plays a team that asks for several times its allowance at all entries, while these fail in all ways. */
    static AllowanceSimulation withFaults(long seed, Split split) {
        return new AllowanceSimulation(seed, split, true, ENTRIES, 4);
    }

    /** Plays a team that asks for most of its allowance at three of the entries, none of which fails. */
    static AllowanceSimulation fewEntries(Split split) {
        return new AllowanceSimulation(1, split, false, 3, 0.8);
    }

    private record Grant(long units, long askedAt, int arrivesAt) {}

    private final class Entry {
        private final EntryPart part = new EntryPart();
        private final Deque<Grant> arriving = new ArrayDeque<>();
        private AllowanceShare share = new AllowanceShare(BOUNDS, now());
        private int pausedUntil;
        private int cutUntil;
        private long waiting;

        Entry(boolean addedLater) {
            if (addedLater) {
                part.recordAdded(now());
            }
        }

        boolean runs() {
            return step >= pausedUntil;
        }

        boolean reaches(Entry other) {
            return step >= cutUntil && step >= other.cutUntil && other.runs();
        }

        void restart() {
            share = new AllowanceShare(BOUNDS, now());
            arriving.clear();
            waiting = 0;
        }

        void work() {
            share.update(ALLOWANCE, split == Split.WHOLE_AT_EACH ? 1 : part.part(now()), now());
            while (!arriving.isEmpty() && arriving.getFirst().arrivesAt() <= step) {
                Grant grant = arriving.removeFirst();
                share.borrow(grant.units(), grant.askedAt(), now());
            }
            while (waiting >= COST && share.take(COST, now())) {
                waiting -= COST;
                admitted[step] += (double) COST;
                served += (double) COST;
            }
            if (waiting >= COST && split == Split.LENT) {
                borrow();
            }
            // A request that waits for longer than a moment is refused.
            if (waiting > 10 * COST) {
                waiting = 10 * COST;
            }
        }

        private void borrow() {
            Entry lender = entries.get(random.nextInt(entries.size()));
            if (lender != this && reaches(lender)) {
                long lent = lender.share.lend(COST, now());
                boolean lost = faults && random.nextInt(10) == 0;
                if (!lost) {
                    arriving.addLast(new Grant(lent, now(), step + (faults && random.nextInt(20) == 0 ? 500 : 1)));
                }
            }
        }
    }

    private long now() {
        return step * STEP_NANOS;
    }

    private void run() {
        for (step = 0; step < STEPS; step++) {
            if (step % 1_000 == 0) {
                entries.stream()
                        .filter(entry -> step >= entry.cutUntil)
                        .forEach(entry -> entry.part.recordCount(entries.size(), 10_000_000_000L, now()));
            }
            if (faults && step >= WARM_UP_STEPS && random.nextInt(50) == 0) {
                disturb();
            }
            arrive();
            entries.stream().filter(Entry::runs).forEach(Entry::work);
        }
    }

    private void arrive() {
        if (step < WARM_UP_STEPS) {
            return;
        }
        double perStep = demandFactor * ALLOWANCE.perSecond() * STEP_NANOS / 1e9;
        int requests = (int) (perStep / COST + random.nextDouble());
        for (int i = 0; i < requests; i++) {
            Entry entry = entries.get(random.nextInt(usedEntries));
            entry.waiting += COST;
            asked += (double) COST;
        }
    }

    private void disturb() {
        Entry entry = entries.get(random.nextInt(entries.size()));
        switch (random.nextInt(5)) {
            case 0 -> entry.cutUntil = step + 100 + random.nextInt(900);
            case 1 -> entry.pausedUntil = step + 50 + random.nextInt(500);
            case 2 -> entry.restart();
            case 3 -> {
                if (entries.size() < ENTRIES + 6) {
                    entries.add(new Entry(true));
                }
            }
            default -> cutHalf();
        }
    }

    /** Separates every other entry from all others and from the store. */
    private void cutHalf() {
        int until = step + 100 + random.nextInt(500);
        for (int i = 0; i < entries.size(); i += 2) {
            entries.get(i).cutUntil = until;
        }
    }

    double largestWindow() {
        double sum = 0;
        double largest = 0;
        for (int i = 0; i < STEPS; i++) {
            sum += admitted[i];
            if (i >= WINDOW_STEPS) {
                sum -= admitted[i - WINDOW_STEPS];
            }
            largest = Math.max(largest, sum);
        }
        return largest;
    }

    double mostPerWindow() {
        return BOUNDS.most(ALLOWANCE);
    }

    double admittedShare() {
        return served / asked;
    }
}
