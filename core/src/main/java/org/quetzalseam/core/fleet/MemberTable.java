package org.quetzalseam.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The endpoints an entry may use, kept from listings and changes of the platform's list. Not thread-safe.
 *
 * <p>While the platform's store is away, registrations lapse though their endpoints live. What is missing right after the
 * store's return is therefore kept for a grace time, in which a living endpoint registers again; whatever is missing at
 * any other time is gone at once.
 *
 * <p>Either all endpoints of a platform say when they started, or none does. Once half of the registrations have said it, one
 * that doesn't is another writer's and names no endpoint.
 */
public final class MemberTable {
    private final long graceNanos;
    private final Map<String, Member> members = new HashMap<>();
    private final Map<String, Long> graceEndNanos = new HashMap<>();
    private boolean startsRequired;

    /** Creates an empty table that keeps lapsed registrations for the given time, in nanoseconds. */
    public MemberTable(long graceNanos) {
        this.graceNanos = graceNanos;
    }

    /**
     * Takes a whole listing.
     *
     * @param listed all members
     * @param now monotonic time in nanoseconds
     * @param storeWasAway whether the store has just come back from an outage
     */
    public void replaceAll(Collection<Member> listed, long now, boolean storeWasAway) {
        Set<String> ids = new HashSet<>();
        for (Member member : listed) {
            ids.add(member.id());
            putUnlessOlder(member);
        }
        for (String id : List.copyOf(members.keySet())) {
            if (!ids.contains(id)) {
                remove(id, now, storeWasAway);
            }
        }
        updateStartsRequired();
    }

    /** Adds or renews a member. What speaks of an earlier life than the one known came late, and changes nothing. */
    public void put(Member member) {
        putUnlessOlder(member);
        updateStartsRequired();
    }

    private void putUnlessOlder(Member member) {
        Member known = members.get(member.id());
        boolean late = known != null
                && member.incarnation().hasStart()
                && member.incarnation().precedes(known.incarnation());
        if (!late) {
            members.put(member.id(), member);
            graceEndNanos.remove(member.id());
        }
    }

    /** A single registration must not decide it: it may be the other writer's. */
    private void updateStartsRequired() {
        long stated = members.values().stream().filter(MemberTable::hasStart).count();
        startsRequired |= stated > 0 && 2 * stated >= members.size();
    }

    private static boolean hasStart(Member member) {
        return member.incarnation().hasStart();
    }

    /** Notes that a member is no longer listed. A member that had said that it leaves is gone at once. */
    public void remove(String id, long now, boolean storeWasAway) {
        Member member = members.get(id);
        if (member == null) {
            return;
        }
        if (storeWasAway && !member.draining()) {
            graceEndNanos.putIfAbsent(id, now + graceNanos);
            return;
        }
        forget(id);
    }

    /** Drops what is still missing after its grace time. Returns the ids dropped. */
    public List<String> expire(long now) {
        List<String> dropped = new ArrayList<>();
        graceEndNanos.forEach((id, until) -> {
            if (now - until >= 0) {
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

    /** Returns all members that name an endpoint, those that leave and those that are missing included. */
    public Collection<Member> all() {
        return members.values().stream()
                .filter(member -> !startsRequired || hasStart(member))
                .toList();
    }
}
