package org.quetzalseam.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The endpoints that an entry may use, updated from the listings and changes of the platform's registrations. Not
 * thread-safe.
 *
 * <p>While the platform's store is unavailable, registrations lapse although their endpoints are running. A member that
 * is missing right after an outage of the store is therefore kept for the rest of the time in which a running endpoint
 * registers again; a member that is missing at any other time is removed at once.
 *
 * <p>Either all endpoints of a platform report their start time or none does. Once half of the registrations have had a
 * start time, a registration without one comes from another writer and does not describe an endpoint.
 */
public final class MemberTable {
    private final Map<String, Member> members = new HashMap<>();
    private final Map<String, Long> graceEndNanos = new HashMap<>();
    private boolean startsRequired;

    /**
     * Replaces the members by a complete listing.
     *
     * @param listed all members
     * @param now monotonic time in nanoseconds
     * @param graceNanos for how much longer registrations of running endpoints may be missing; 0 if none should be
     */
    public void replaceAll(Collection<Member> listed, long now, long graceNanos) {
        Set<String> ids = new HashSet<>();
        for (Member member : listed) {
            ids.add(member.id());
            putUnlessOlder(member);
        }
        for (String id : List.copyOf(members.keySet())) {
            if (!ids.contains(id)) {
                remove(id, now, graceNanos);
            }
        }
        updateStartsRequired();
    }

    /** Adds or updates a member. An update for an incarnation before the known one is outdated and is ignored. */
    public void put(Member member) {
        putUnlessOlder(member);
        updateStartsRequired();
    }

    private void putUnlessOlder(Member member) {
        Member known = members.get(member.id());
        boolean outdated = known != null
                && member.incarnation().hasStart()
                && member.incarnation().precedes(known.incarnation());
        if (!outdated) {
            members.put(member.id(), member);
            graceEndNanos.remove(member.id());
        }
    }

    /** Requires start times once half of the members have one; a single registration may come from another writer. */
    private void updateStartsRequired() {
        long withStart = members.values().stream().filter(MemberTable::hasStart).count();
        startsRequired |= withStart > 0 && 2 * withStart >= members.size();
    }

    private static boolean hasStart(Member member) {
        return member.incarnation().hasStart();
    }

    /**
     * Removes a member that is no longer listed, at the end of the grace period where there is one. A draining member is always
     * removed at once.
     *
     * @param graceNanos for how much longer registrations of running endpoints may be missing; 0 if none should be
     */
    public void remove(String id, long now, long graceNanos) {
        Member member = members.get(id);
        if (member == null) {
            return;
        }
        if (graceNanos > 0 && !member.draining()) {
            graceEndNanos.putIfAbsent(id, now + graceNanos);
            return;
        }
        forget(id);
    }

    /** Removes the members that are still missing after their grace period. Returns their ids. */
    public List<String> expire(long now) {
        List<String> dropped = new ArrayList<>();
        graceEndNanos.forEach((id, graceEnd) -> {
            if (now - graceEnd >= 0) {
                dropped.add(id);
            }
        });
        dropped.forEach(this::forget);
        return dropped;
    }

    private void forget(String id) {
        members.remove(id);
        graceEndNanos.remove(id);
    }

    /** Returns all members that describe an endpoint, including those that are draining or missing. */
    public Collection<Member> all() {
        return members.values().stream()
                .filter(member -> !startsRequired || hasStart(member))
                .toList();
    }
}
