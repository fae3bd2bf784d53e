package org.quetzalseam.core.limits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.quetzalseam.core.fleet.Incarnation;

/**
 * Entries that ask each other for permits, with simulated time and messages, in front of one endpoint that states a limit. All
 * entries have been told of it from the start.
 */
final class PermitSimulation {
    static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final Incarnation ENDPOINT = new Incarnation("i-1", 7);
    private static final long ANSWER_TIMEOUT_NANOS = 120 * MILLI;
    private static final long RELAY_TIMEOUT_NANOS = 60 * MILLI;
    private static final long PAUSE_NANOS = SECOND;
    /** How long an entry is excused after a disruption, in nanoseconds. */
    private static final long EXCUSED_NANOS = 3 * SECOND;

    private static final long WINDOW_NANOS = 4 * SECOND;

    private final Random random;
    private final double limit;
    private final long maxWaitNanos;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Map<String, Entry> byName = new HashMap<>();
    private final List<Long> counted = new ArrayList<>();
    private long asked;
    private long now;
    private long nextEvent;

    private record Event(long at, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at == other.at ? Long.compare(number, other.number) : Long.compare(at, other.at);
        }
    }

    PermitSimulation(long seed, int entryCount, double limit, long maxWaitNanos) {
        this.random = new Random(seed);
        this.limit = limit;
        this.maxWaitNanos = maxWaitNanos;
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Entry("entry-" + i));
        }
        listAll();
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, nextEvent++, action));
    }

    /** Runs an action after a time from now. */
    void after(long nanos, Runnable action) {
        at(now + nanos, action);
    }

    /** Lets time pass. */
    void run(long nanos) {
        long until = now + nanos;
        while (!events.isEmpty() && events.peek().at() <= until) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        now = until;
    }

    /** Has all entries list each other. */
    void listAll() {
        entries.forEach(Entry::list);
    }

    Entry entry(int number) {
        return entries.get(number);
    }

    /** Returns the entry that decides if all are up. */
    Entry issuer() {
        List<String> names = entries.stream().map(entry -> entry.name).toList();
        String first = PermitIssuers.order(names.subList(1, names.size()), names.get(0), true, ENDPOINT.id())
                .get(0);
        return entries.stream()
                .filter(entry -> entry.name.equals(first))
                .findFirst()
                .orElseThrow();
    }

    /** Adds an entry, which lists the others at once, while these do not know it before they list again. */
    Entry join(String name) {
        Entry added = new Entry(name);
        entries.add(added);
        added.list();
        added.permits.newcomer(true);
        return added;
    }

    /** Makes all entries so new that others may not know them yet. */
    void allNew() {
        entries.forEach(entry -> entry.permits.newcomer(true));
    }

    /** Sends requests at random times, at a rate for all entries; a part of them comes to the first entry. */
    void demand(double perSecond, double crowdedShare) {
        after((long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND), () -> {
            int number = random.nextDouble() < crowdedShare ? 0 : random.nextInt(entries.size());
            entries.get(number).request();
            demand(perSecond, crowdedShare);
        });
    }

    /** Returns the requests a second that reached the endpoint, over the whole time. */
    double perSecond() {
        return counted.size() / (now / (double) SECOND);
    }

    /** Returns the most requests in a window. */
    int mostInWindow() {
        int most = 0;
        int first = 0;
        List<Long> sorted = counted.stream().sorted().toList();
        for (int last = 0; last < sorted.size(); last++) {
            while (sorted.get(last) - sorted.get(first) > WINDOW_NANOS) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    /** Returns the number of questions that one entry sent another, a second. */
    double questionsPerSecond() {
        return asked / (now / (double) SECOND);
    }

    /** One entry. */
    final class Entry {
        private final String name;
        private final Links links = new Links();
        private EndpointPermits permits;
        private boolean up = true;
        private boolean reachable = true;
        private long frozenUntil;
        private long excusedUntil;

        Entry(String name) {
            this.name = name;
            byName.put(name, this);
            this.permits = newPermits();
        }

        private EndpointPermits newPermits() {
            EndpointPermits created = new EndpointPermits(name, links, () -> now, endpoint -> null);
            created.decides(true);
            return created;
        }

        /** Lists the entries. */
        void list() {
            links.listed = entries.stream()
                    .map(entry -> entry.name)
                    .filter(other -> !other.equals(name))
                    .toList();
            permits.entries(entries.size());
        }

        void known() {
            permits.newcomer(false);
        }

        /** Ends the process. */
        void kill() {
            up = false;
            excusedUntil = Long.MAX_VALUE;
        }

        /** Starts the process again; it knows nothing of before but lists the others at once. */
        void start() {
            up = true;
            excusedUntil = now + EXCUSED_NANOS;
            permits = newPermits();
            links.failingSince.clear();
            list();
        }

        /** Stops the process for a time, after which it goes on with what it knew. */
        void freeze(long nanos) {
            frozenUntil = now + nanos;
            excusedUntil = frozenUntil + EXCUSED_NANOS;
        }

        /** Cuts it off from the other entries, or connects it again. */
        void cut(boolean isCut) {
            reachable = !isCut;
            excusedUntil = isCut ? Long.MAX_VALUE : now + EXCUSED_NANOS;
        }

        private boolean running() {
            return up && now >= frozenUntil;
        }

        private void request() {
            if (!running()) {
                return;
            }
            KnownLimit known = new KnownLimit(true, limit, random.nextInt(1_000) * MILLI);
            permits.ask(new PermitAsk(PermitAsk.Kind.SEND, ENDPOINT, 1, maxWaitNanos, known, false), answer -> {
                if (answer.permit().isGranted()) {
                    after(answer.permit().waitNanos(), this::send);
                }
            });
        }

        private void send() {
            if (!up) {
                return;
            }
            if (now < frozenUntil) {
                at(frozenUntil, this::send);
            } else if (now >= excusedUntil) {
                counted.add(now);
            }
        }

        private void receive(PermitAsk ask, Consumer<PermitAnswer> answered) {
            if (now < frozenUntil) {
                at(frozenUntil, () -> receive(ask, answered));
            } else if (up) {
                permits.answer(ask, answered);
            }
        }

        private final class Links implements PermitPeers {
            private final Map<String, Long> failingSince = new HashMap<>();
            private final Map<String, Long> pausedAt = new HashMap<>();
            private List<String> listed = List.of();

            @Override
            public Collection<String> names() {
                return listed;
            }

            @Override
            public boolean usable(String peer) {
                Long paused = pausedAt.get(peer);
                return paused == null || now - paused > PAUSE_NANOS;
            }

            @Override
            public long unreachableNanos(String peer) {
                Long since = failingSince.get(peer);
                return since == null ? 0 : now - since;
            }

            @Override
            public void ask(String peer, PermitAsk ask, Consumer<Optional<PermitAnswer>> answered) {
                asked++;
                boolean[] done = new boolean[1];
                Entry target = Objects.requireNonNull(byName.get(peer));
                if (reachable && target.reachable && !target.up) {
                    after(delay(), () -> fail(peer, done, answered));
                    return;
                }
                after(ANSWER_TIMEOUT_NANOS, () -> fail(peer, done, answered));
                if (ask.relayed()) {
                    after(RELAY_TIMEOUT_NANOS, () -> end(done, () -> answered.accept(Optional.empty())));
                }
                if (reachable && target.reachable) {
                    after(
                            delay(),
                            () -> target.receive(
                                    ask,
                                    answer -> after(delay(), () -> {
                                        if (running() && reachable && target.reachable) {
                                            failingSince.remove(peer);
                                            end(done, () -> answered.accept(Optional.of(answer)));
                                        }
                                    })));
                }
            }

            private void fail(String peer, boolean[] done, Consumer<Optional<PermitAnswer>> answered) {
                end(done, () -> {
                    pausedAt.put(peer, now);
                    failingSince.putIfAbsent(peer, now);
                    answered.accept(Optional.empty());
                });
            }

            private static void end(boolean[] done, Runnable action) {
                if (!done[0]) {
                    done[0] = true;
                    action.run();
                }
            }
        }
    }

    private long delay() {
        return MILLI / 4 + (long) (random.nextDouble() * 2 * MILLI);
    }
}
