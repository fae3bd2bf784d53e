package org.quetzalseam.gateway.access;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.access.AccessRules;
import org.quetzalseam.core.access.Allowance;
import org.quetzalseam.core.access.AllowanceBounds;
import org.quetzalseam.core.access.Team;
import org.quetzalseam.core.routing.CallKind;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.core.routing.ServiceShare;
import org.quetzalseam.gateway.access.AccessDecision.Verdict;

class AccessControlTest {
    private static final long REVOCATION_MILLIS = 5_000;
    private static final AccessRules RULES =
            AccessRules.of(List.of(new AccessRules.Grant(new Team("dealers", Allowance.UNLIMITED), List.of("k-1"))));

    private final AccessControl control =
            new AccessControl(new AccessSettings(REVOCATION_MILLIS, new AllowanceBounds(8, 0.1, 0)));

    private static RouteRule route(boolean isPublic) {
        return new RouteRule(
                "r",
                "h",
                "/",
                CallKind.IDEMPOTENT,
                List.of(new ServiceShare("s", 1)),
                1,
                1_000,
                100,
                0,
                2_000,
                0,
                false,
                isPublic);
    }

    private static HttpHeaders key(String key) {
        return new DefaultHttpHeaders().set("Authorization", "Bearer " + key);
    }

    private Verdict verdict(boolean isPublic, HttpHeaders headers, boolean newest, long proofAgeMillis) {
        return control.decide(RULES, route(isPublic), headers, newest, proofAgeMillis)
                .verdict();
    }

    // Guards against a key that was revoked being accepted by an entry that can't reach the store.
    @Test
    void aKeyIsInDoubtOnceItCouldHaveBeenRevokedForTooLong() {
        assertThat(verdict(false, key("k-1"), false, 4_400)).isEqualTo(Verdict.ALLOWED);
        assertThat(verdict(false, key("k-1"), false, REVOCATION_MILLIS)).isEqualTo(Verdict.IN_DOUBT);
    }

    // Guards against a key that was just added being denied by an entry that has not heard of it.
    @Test
    void anUnknownKeyIsDeniedOnlyIfTheNewestStateIsKnown() {
        assertThat(verdict(false, key("k-2"), true, 100)).isEqualTo(Verdict.DENIED);
        assertThat(verdict(false, key("k-2"), false, 2_000)).isEqualTo(Verdict.IN_DOUBT);
    }

    @Test
    void aPublicRouteIsServedHoweverOldTheStateIs() {
        AccessDecision decision = control.decide(RULES, route(true), key("k-1"), false, 60_000);
        assertThat(decision.verdict()).isEqualTo(Verdict.ALLOWED);
        assertThat(decision.team()).as("the key may have been revoked").isNull();
    }

    @Test
    void withoutATimeForRevocationsAKeyIsAcceptedWhileTheStoreIsAway() {
        control.update(AccessSettings.DEFAULT);
        assertThat(verdict(false, key("k-1"), false, 60_000)).isEqualTo(Verdict.ALLOWED);
    }

    @Test
    void aReasonNeverContainsTheKey() {
        AccessDecision decision = control.decide(RULES, route(false), key("secret"), true, 0);
        assertThat(decision.toString()).doesNotContain("secret");
        assertThat(decision.reason()).isEqualTo("unknown key");
    }
}
