package org.quetzalseam.core.access;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The teams of one version of the desired state and their API keys. Immutable. Keeps only digests of the keys, so that neither a
 * dump of the memory nor the time of a lookup reveals a key.
 */
public final class AccessRules {
    /** The rules of a site without teams, where requests need no key. */
    public static final AccessRules OPEN = new AccessRules(false, Map.of());

    private final boolean required;
    private final Map<String, Team> byKeyDigest;
    private final Map<String, Team> byName = new HashMap<>();

    private AccessRules(boolean required, Map<String, Team> byKeyDigest) {
        this.required = required;
        this.byKeyDigest = byKeyDigest;
    }

    /** Returns the rules of a site where each request needs a key, unless its route is public. */
    public static AccessRules of(Collection<Grant> grants) {
        Map<String, Team> byKey = new HashMap<>();
        AccessRules rules = new AccessRules(true, byKey);
        for (Grant grant : grants) {
            Team team = grant.team();
            if (team.name().isBlank() || rules.byName.put(team.name(), team) != null) {
                throw new IllegalArgumentException("team '" + team.name() + "': expected a name of its own");
            }
            for (String key : grant.keys()) {
                if (key.isBlank() || byKey.put(digest(key), team) != null) {
                    throw new IllegalArgumentException(
                            "team '" + team.name() + "': expected keys that are not blank and that no other team has");
                }
            }
        }
        return rules;
    }

    /**
     * A team and its API keys. Immutable.
     *
     * @param team the team
     * @param keys its keys, each of which belongs to no other team
     */
    public record Grant(Team team, List<String> keys) {
        /** Copies the list. */
        public Grant {
            keys = List.copyOf(keys);
        }

        @Override
        public String toString() {
            return "Grant[team=" + team + ", keys=" + keys.size() + "]";
        }
    }

    /** Returns whether requests need a key, unless their route is public. */
    public boolean required() {
        return required;
    }

    /** Returns the team that an API key belongs to. */
    public Optional<Team> teamOf(String key) {
        return byKeyDigest.isEmpty() ? Optional.empty() : Optional.ofNullable(byKeyDigest.get(digest(key)));
    }

    /** Returns a team. */
    public Optional<Team> team(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Returns the names of the teams. */
    public Set<String> names() {
        return Set.copyOf(byName.keySet());
    }

    /** Returns the number of keys. */
    public int keys() {
        return byKeyDigest.size();
    }

    private static String digest(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("expected SHA-256, which every Java platform has", e);
        }
    }
}
