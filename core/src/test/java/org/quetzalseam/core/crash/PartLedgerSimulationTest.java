package org.quetzalseam.core.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.crash.CrashReport.Fact;

/**
 * Simulates entries that count crashes, endpoints that are down for seconds after each, and requests that share parts: a popular
 * first part, many others, and up to two that crash the endpoint which answers. Entries hear from each other with a delay.
 */
class PartLedgerSimulationTest {
    private static final int SEEDS = 40;
    private static final int ENTRIES = 4;
    private static final int ENDPOINTS = 8;
    private static final int STEP_MILLIS = 20;
    private static final int CALM_MILLIS = 5_000;
    private static final int DISTURBED_MILLIS = 20_000;
    private static final int DOWN_MILLIS = 3_000;
    private static final int RUN_MILLIS = 400;
    private static final int CRASHING_RUN_MILLIS = 100;
    private static final int OTHER_PARTS = 30;
    private static final int CRASHES = 5;
    /** Time after the fifth crash from which the part's requests are limited, in milliseconds. */
    private static final int NOTICE_MILLIS = 3_000;

    /** One simulated site. Times are milliseconds. */
    private static final class Site {
        private final Random random;
        private final int hearMillis;
        private final List<CrashLedger> ledgers = new ArrayList<>();
        private final List<Run> runs = new ArrayList<>();
        private final long[] upAgainAt = new long[ENDPOINTS];
        private final int[] starts = new int[ENDPOINTS];
        private final TreeMap<Long, List<Runnable>> messages = new TreeMap<>();
        private final Map<String, List<Long>> crashes = new TreeMap<>();
        private final Map<String, List<Long>> sent = new TreeMap<>();
        private final Set<String> suspected = new HashSet<>();
        private int soundRefused;
        private int requests;
        private long now;

        private record Run(int entry, int endpoint, List<String> parts, String id, long endsAt) {}

        Site(long seed, int hearMillis) {
            this.random = new Random(seed);
            this.hearMillis = hearMillis;
            for (int i = 0; i < ENTRIES; i++) {
                ledgers.add(new CrashLedger("e" + i, TimeUnit.MINUTES.toNanos(10), TimeUnit.HOURS.toNanos(1)));
            }
        }

        private long nanos() {
            return TimeUnit.MILLISECONDS.toNanos(now);
        }

        void play(int millis, double soundPerSecond, double crashesPerSecond, String... crashing) {
            for (long until = now + millis; now < until; now += STEP_MILLIS) {
                while (!messages.isEmpty() && messages.firstKey() <= now) {
                    messages.pollFirstEntry().getValue().forEach(Runnable::run);
                }
                endRuns();
                if (happens(soundPerSecond)) {
                    send(List.of(random.nextInt(4) == 0 ? "other" : "first", "part" + random.nextInt(OTHER_PARTS)));
                }
                for (String part : crashing) {
                    if (happens(4)) {
                        send(List.of("first", part));
                    }
                }
                if (happens(crashesPerSecond)) {
                    crash(random.nextInt(ENDPOINTS), "none");
                }
                ledgers.forEach(ledger -> suspected.addAll(ledger.parts().suspects()));
            }
        }

        private boolean happens(double perSecond) {
            return random.nextDouble() < perSecond * STEP_MILLIS / 1_000;
        }

        private void send(List<String> parts) {
            int entry = random.nextInt(ENTRIES);
            if (ledgers.get(entry).parts().holdsSuspect(parts)) {
                soundRefused += isCrashing(parts) ? 0 : 1;
                return;
            }
            List<Integer> up = new ArrayList<>();
            for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
                if (upAgainAt[endpoint] <= now) {
                    up.add(endpoint);
                }
            }
            if (up.isEmpty()) {
                return;
            }
            int takes = isCrashing(parts) ? CRASHING_RUN_MILLIS : 1 + random.nextInt(2 * RUN_MILLIS);
            runs.add(new Run(entry, up.get(random.nextInt(up.size())), parts, "r" + requests++, now + takes));
            sent.computeIfAbsent(parts.get(1), added -> new ArrayList<>()).add(now);
        }

        private static boolean isCrashing(List<String> parts) {
            return parts.get(1).startsWith("bad");
        }

        private void endRuns() {
            for (Run run : List.copyOf(runs)) {
                if (run.endsAt() <= now && runs.contains(run)) {
                    if (isCrashing(run.parts())) {
                        crash(run.endpoint(), run.parts().get(1));
                    } else {
                        runs.remove(run);
                        CrashLedger ledger = ledgers.get(run.entry());
                        ledger.recordEnded(run.id(), nanos());
                        if (ledger.parts().recordEnded(run.parts(), nanos())) {
                            tell(run.entry());
                        }
                    }
                }
            }
        }

        private void crash(int endpoint, String cause) {
            if (upAgainAt[endpoint] > now) {
                return;
            }
            upAgainAt[endpoint] = now + DOWN_MILLIS;
            String incarnation = "i-" + endpoint + "@" + starts[endpoint]++;
            crashes.computeIfAbsent(cause, added -> new ArrayList<>()).add(now);
            for (Run run : List.copyOf(runs)) {
                if (run.endpoint() == endpoint) {
                    runs.remove(run);
                    ledgers.get(run.entry()).recordLost(new Fact(run.id(), incarnation, run.parts()), nanos());
                    tell(run.entry());
                }
            }
        }

        /** The others take in the entry's report, and tell what it made them dismiss. */
        private void tell(int entry) {
            messages.computeIfAbsent(now + 1 + random.nextInt(hearMillis), added -> new ArrayList<>())
                    .add(() -> {
                        CrashReport report = ledgers.get(entry).ownReport(nanos());
                        for (int other = 0; other < ENTRIES; other++) {
                            if (other != entry) {
                                int dismissed = ledgers.get(other)
                                        .ownReport(nanos())
                                        .endedParts()
                                        .size();
                                ledgers.get(other).learn(Map.of("e" + entry, report), nanos());
                                if (ledgers.get(other)
                                                .ownReport(nanos())
                                                .endedParts()
                                                .size()
                                        > dismissed) {
                                    tell(other);
                                }
                            }
                        }
                    });
        }

        long lateRequests(String part) {
            List<Long> own = crashes.getOrDefault(part, List.of());
            if (own.size() < CRASHES) {
                return 0;
            }
            long limitedFrom = own.get(CRASHES - 1) + NOTICE_MILLIS;
            return sent.getOrDefault(part, List.of()).stream()
                    .filter(at -> at > limitedFrom)
                    .count();
        }
    }

    // Guards against a part being suspected because its requests were under way whenever endpoints crashed for other
    // reasons, two a second for 20 s.
    @Test
    void noPartIsSuspectedWhileEndpointsCrashForOtherReasons() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Site site = new Site(seed, 100);
            site.play(CALM_MILLIS, 40, 0);
            site.play(DISTURBED_MILLIS, 40, 2);
            assertThat(site.suspected).as("seed " + seed).isEmpty();
        }
    }

    // Guards against a part that crashes endpoints not being found in time, or others being suspected in its place.
    @Test
    void onlyThePartThatCrashesEndpointsIsSuspected() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Site site = new Site(seed, 100);
            site.play(CALM_MILLIS, 40, 0);
            site.play(DISTURBED_MILLIS, 40, 0.3, "bad1");
            assertThat(site.suspected).as("seed " + seed).containsExactly("bad1");
            assertThat(site.lateRequests("bad1")).as("seed " + seed).isZero();
            assertThat(site.soundRefused).as("seed " + seed).isZero();
        }
    }

    @Test
    void twoPartsThatCrashEndpointsAreSuspectedBoth() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Site site = new Site(seed, 1_000);
            site.play(CALM_MILLIS, 40, 0);
            site.play(DISTURBED_MILLIS, 40, 0, "bad1", "bad2");
            assertThat(site.suspected).as("seed " + seed).containsExactlyInAnyOrder("bad1", "bad2");
            assertThat(site.lateRequests("bad1") + site.lateRequests("bad2"))
                    .as("seed " + seed)
                    .isZero();
        }
    }

    // Guards against a popular part being suspected for good on a site where hardly a request is sound.
    @Test
    void thePopularPartIsNotSuspectedThoughFewSoundRequestsHoldIt() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Site site = new Site(seed, 1_000);
            site.play(CALM_MILLIS, 3, 0);
            site.play(DISTURBED_MILLIS, 3, 0, "bad1");
            assertThat(site.suspected).as("seed " + seed).containsExactly("bad1");
            assertThat(site.lateRequests("bad1")).as("seed " + seed).isZero();
        }
    }
}
