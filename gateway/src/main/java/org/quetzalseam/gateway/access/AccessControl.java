package org.quetzalseam.gateway.access;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.quetzalseam.core.access.AccessRules;
import org.quetzalseam.core.access.Team;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.gateway.access.AccessDecision.Verdict;

/**
 * Decides by its API key whether a request may be made. Used on the event loop only.
 *
 * <p>A key that is known is accepted only while the entry's desired state is proved to have been the newest not long ago, so that a
 * key that was revoked is refused in time also by entries that cannot reach the store. A key that is unknown is denied only if the
 * newest desired state is known, because it may have been added since.
 */
public final class AccessControl {
    /** Part of the time for a revocation during which the state may be used unproved; the rest covers late timers and clock drift. */
    private static final double USED_REVOCATION_SHARE = 0.9;

    /** The challenge in the refusal of a request without a key that is in force, as RFC 6750 defines it. */
    public static final String CHALLENGE = "Bearer";

    private long maxAgeMillis;

    /** Creates an access control. */
    public AccessControl(AccessSettings settings) {
        update(settings);
    }

    /** Applies new settings. */
    public void update(AccessSettings settings) {
        long revocationMillis = settings.revocationMillis();
        maxAgeMillis = revocationMillis > 0 ? (long) (USED_REVOCATION_SHARE * revocationMillis) : Long.MAX_VALUE;
    }

    /**
     * Decides on a request.
     *
     * @param newest whether the rules are known to be the newest
     * @param proofAgeMillis how long ago, at the most, the rules were the newest, in milliseconds
     */
    public AccessDecision decide(
            AccessRules rules, RouteRule route, HttpHeaders headers, boolean newest, long proofAgeMillis) {
        if (!rules.required()) {
            return new AccessDecision(Verdict.ALLOWED, "no key needed", null);
        }
        Optional<String> key = BearerCredentials.key(headers);
        Optional<Team> team = key.flatMap(rules::teamOf);
        if (team.isEmpty() && route.isPublic()) {
            return new AccessDecision(Verdict.ALLOWED, "no key needed", null);
        }
        if (team.isEmpty()) {
            return new AccessDecision(newest ? Verdict.DENIED : Verdict.IN_DOUBT, whyUnknown(headers, key), null);
        }
        if (proofAgeMillis > maxAgeMillis) {
            return route.isPublic()
                    ? new AccessDecision(Verdict.ALLOWED, "no key needed", null)
                    : new AccessDecision(Verdict.IN_DOUBT, "the key may have been revoked", null);
        }
        return new AccessDecision(Verdict.ALLOWED, "key in force", team.get());
    }

    private static String whyUnknown(HttpHeaders headers, Optional<String> key) {
        if (key.isPresent()) {
            return "unknown key";
        }
        return BearerCredentials.present(headers) ? "malformed credentials" : "no credentials";
    }
}
