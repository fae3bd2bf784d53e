package org.quetzalseam.core.stream;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.quetzalseam.core.fleet.Member;

/**
 * The builds that have served each service lately. If one build only has served for as long as any stream lasts, a stream of unknown
 * origin may go on anywhere. A process does not know what served before it first listed the endpoints, nor what came and went
 * between two lists, unless it is told ({@link #recordServedBefore}). Not thread-safe. Times are monotonic nanoseconds.
 */
public final class BuildHistory {
    private static final String UNKNOWN_BUILD = "";
    /** Most memory for builds, as estimated, in bytes; beyond it those that do not serve now are forgotten. */
    static final long MAX_BYTES = 1024 * 1024;
    /** Memory of an entry without its texts, in bytes: map nodes, boxed time and object headers. */
    private static final long BYTES_PER_BUILD = 250;

    private final Map<String, Map<String, Long>> lastListed = new HashMap<>();
    private Set<Listed> present = Set.of();
    private long completeSince;
    private boolean completeFromStart;
    private long bytes;

    private record Listed(String service, String build) {
        long bytes() {
            return BYTES_PER_BUILD + service.length() + build.length();
        }
    }

    /**
     * Records that the endpoints were listed anew, so that what served before is not known.
     *
     * @param nothingBefore whether nothing served before, because the whole site starts for the first time
     */
    public void recordList(long now, boolean nothingBefore) {
        completeFromStart = nothingBefore;
        completeSince = now;
    }

    /**
     * Records what served before the latest list, as others know it. It counts as served until now.
     *
     * @param builds the builds of each service; none for a service of which nothing served
     */
    public void recordServedBefore(Map<String, Set<String>> builds, long now) {
        completeFromStart = true;
        recordServed(builds, now);
    }

    /** Records builds of which others know that they serve or have served. They count as served until now. */
    public void recordServed(Map<String, Set<String>> builds, long now) {
        builds.forEach((service, names) -> names.forEach(build -> stamp(new Listed(service, build), now)));
    }

    /** Returns the builds of the endpoints that there are now, by service; an unknown one is empty. */
    public Map<String, Set<String>> present() {
        Map<String, Set<String>> builds = new TreeMap<>();
        present.forEach(there ->
                builds.computeIfAbsent(there.service(), key -> new TreeSet<>()).add(there.build()));
        return builds;
    }

    /** Returns whether all that has served for the given time, in nanoseconds, is known. */
    public boolean complete(long window, long now) {
        return completeFromStart || now - completeSince >= window;
    }

    /** Returns the builds that are known to have served in the given time, in nanoseconds, by service; an unknown one is empty. */
    public Map<String, Set<String>> served(long window, long now) {
        Map<String, Set<String>> builds = new TreeMap<>();
        for (String service : lastListed.keySet()) {
            Set<String> names = listed(service, window, now);
            if (!names.isEmpty()) {
                builds.put(service, new TreeSet<>(names));
            }
        }
        return builds;
    }

    /** Returns how long all that has served is known, in nanoseconds; {@link Long#MAX_VALUE} if it is known from the start. */
    public long knownNanos(long now) {
        return completeFromStart ? Long.MAX_VALUE : now - completeSince;
    }

    /** Records which endpoints there are from now on, draining ones included. */
    public void update(Collection<Member> members, long now) {
        Set<Listed> listed = new HashSet<>();
        for (Member member : members) {
            String build = member.build();
            listed.add(new Listed(member.service(), build == null ? UNKNOWN_BUILD : build));
        }
        present.forEach(before -> stamp(before, now));
        present = Set.copyOf(listed);
        present.forEach(there -> stamp(there, now));
    }

    private void stamp(Listed listed, long now) {
        Map<String, Long> builds = lastListed.computeIfAbsent(listed.service(), key -> new HashMap<>());
        if (builds.put(listed.build(), now) == null) {
            bytes += listed.bytes();
            if (bytes > MAX_BYTES) {
                forgetFormer(now);
            }
        }
    }

    /** Forgets all builds but those that serve now, so that from now on it is not known what served before. */
    private void forgetFormer(long now) {
        lastListed.clear();
        bytes = 0;
        for (Listed there : present) {
            lastListed.computeIfAbsent(there.service(), key -> new HashMap<>()).put(there.build(), now);
            bytes += there.bytes();
        }
        recordList(now, false);
    }

    /**
     * Returns the only build that has served a service for the given time, in nanoseconds; empty if there were several, or if not all
     * that time is known.
     */
    public Optional<String> onlyBuild(String service, long window, long now) {
        if (!complete(window, now)) {
            return Optional.empty();
        }
        Set<String> builds = listed(service, window, now);
        return builds.size() == 1 && !builds.contains(UNKNOWN_BUILD)
                ? Optional.of(builds.iterator().next())
                : Optional.empty();
    }

    /** Returns whether no other build than the given one is known to have served a service in the given time, in nanoseconds. */
    public boolean noneBut(String build, String service, long window, long now) {
        return Set.of(build).containsAll(listed(service, window, now));
    }

    /** Returns the builds that this process has seen to serve a service in the given time, in nanoseconds; there may be others. */
    public Set<String> builds(String service, long window, long now) {
        Set<String> builds = new HashSet<>(listed(service, window, now));
        builds.remove(UNKNOWN_BUILD);
        return builds;
    }

    private Set<String> listed(String service, long window, long now) {
        present.forEach(there -> stamp(there, now));
        Set<String> builds = new HashSet<>();
        lastListed.getOrDefault(service, Map.of()).forEach((build, at) -> {
            if (now - at <= window) {
                builds.add(build);
            }
        });
        return builds;
    }
}
