package org.quetzalseam.core.stream;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quetzalseam.core.fleet.Member;

/**
 * The builds that have served each service lately. If one build only has served for as long as any stream lasts, a stream of unknown
 * origin may go on anywhere. A process does not know what served before it first listed the endpoints, nor what came and went
 * between two lists. Not thread-safe. Times are monotonic nanoseconds.
 */
public final class BuildHistory {
    private static final String UNKNOWN_BUILD = "";

    private final Map<String, Map<String, Long>> lastListed = new HashMap<>();
    private Set<Listed> present = Set.of();
    private long completeSince;
    private boolean completeFromStart;

    private record Listed(String service, String build) {}

    /**
     * Records that the endpoints were listed anew, so that what served before is not known.
     *
     * @param nothingBefore whether nothing served before, because the whole site starts for the first time
     */
    public void recordList(long now, boolean nothingBefore) {
        completeFromStart = nothingBefore;
        completeSince = now;
    }

    /** Records which endpoints there are from now on, draining ones included. */
    public void update(Collection<Member> members, long now) {
        Set<Listed> listed = new HashSet<>();
        for (Member member : members) {
            String build = member.build();
            listed.add(new Listed(member.service(), build == null ? UNKNOWN_BUILD : build));
        }
        present.forEach(before -> stamp(before, now));
        listed.forEach(there -> stamp(there, now));
        present = Set.copyOf(listed);
    }

    private void stamp(Listed listed, long now) {
        lastListed.computeIfAbsent(listed.service(), key -> new HashMap<>()).put(listed.build(), now);
    }

    /**
     * Returns the only build that has served a service for the given time, in nanoseconds; empty if there were several, or if not all
     * that time is known.
     */
    public Optional<String> onlyBuild(String service, long window, long now) {
        if (!completeFromStart && now - completeSince < window) {
            return Optional.empty();
        }
        Set<String> builds = listed(service, window, now);
        return builds.size() == 1 && !builds.contains(UNKNOWN_BUILD)
                ? Optional.of(builds.iterator().next())
                : Optional.empty();
    }

    /** Returns the builds that this process has seen to serve a service in the given time, in nanoseconds; there may be others. */
    public Set<String> builds(String service, long window, long now) {
        Set<String> builds = new HashSet<>(listed(service, window, now));
        builds.remove(UNKNOWN_BUILD);
        return builds;
    }

    private Set<String> listed(String service, long window, long now) {
        present.forEach(there -> stamp(there, now));
        Map<String, Long> builds = lastListed.getOrDefault(service, new HashMap<>());
        builds.values().removeIf(at -> now - at > window);
        return builds.keySet();
    }
}
