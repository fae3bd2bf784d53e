package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.core.access.AccessRules;
import org.quetzalseam.core.access.Allowance;
import org.quetzalseam.core.access.Team;
import org.quetzalseam.core.fleet.Stage;

/** Tests an entry of a site with teams. */
class TeamsTest {
    private static final String KEY = "Authorization: Bearer k-1";
    private static final AccessRules.Grant UNLIMITED =
            new AccessRules.Grant(new Team("dealers", Allowance.UNLIMITED), List.of("k-1", "k-2"));

    private final TestEntry entry = new TestEntry();
    private final ScriptedEndpoint endpoint =
            new ScriptedEndpoint("one", (request, connection) -> connection.answer(request, "served"));

    @BeforeEach
    void start() {
        use(1, UNLIMITED);
        entry.updateEndpoints(endpoint.member("s", Stage.WHOLE));
    }

    private void use(long version, AccessRules.Grant... teams) {
        entry.useTeams(teams);
        entry.updateRoutesToVersion(version, 5_000);
    }

    @AfterEach
    void stop() {
        entry.close();
        endpoint.close();
    }

    @Test
    void anEndpointLearnsTheTeamAndNeverTheKey() {
        assertThat(entry.ask("/once/x", "r1", KEY)).endsWith("served");
        assertThat(endpoint.requests().get(0).header("x-team")).isEqualTo("dealers");
        assertThat(endpoint.requests().get(0).header("Authorization")).isEmpty();
    }

    @Test
    void aTeamThatACallerStatesIsReplaced() {
        entry.ask("/once/x", "r1", KEY, "X-Team: others", "x-TEAM: more", "Connection: x-team");
        assertThat(endpoint.requests().get(0).headers().toString()).doesNotContain("others", "more");
        assertThat(endpoint.requests().get(0).header("x-team")).isEqualTo("dealers");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Other: 1",
                "Authorization: Bearer unknown",
                "Authorization: Bearer",
                "Authorization: Basic k-1",
                "Authorization: k-1",
                "Authorization: Bearer k-1 k-1",
                "Authorization: Bearer k-1, Bearer k-1",
                "Authorization: Bearer k-1\r\nAuthorization: Bearer k-1",
                "Authorization: Bearer K-1"
            })
    void aRequestWithoutExactlyOneKnownKeyIsDenied(String header) {
        assertThat(entry.ask("/once/x", "r1", header))
                .startsWith("HTTP/1.1 401")
                .contains("www-authenticate: Bearer");
        assertThat(endpoint.requests()).isEmpty();
    }

    private String askWithTrailer(String credentials, String trailer) {
        try (TestEntry.Caller caller = entry.caller()) {
            caller.write("POST /once/x HTTP/1.1\r\nHost: h\r\nx-id: r1\r\n" + credentials
                    + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n" + trailer + "\r\n\r\n");
            return caller.readAll();
        }
    }

    @Test
    void aKeyInATrailerIsNoCredential() {
        assertThat(askWithTrailer("", KEY)).startsWith("HTTP/1.1 401");
        assertThat(endpoint.requests()).isEmpty();
    }

    @Test
    void aTeamInATrailerIsNotForwarded() {
        assertThat(askWithTrailer(KEY + "\r\n", "X-Team: others")).endsWith("served");
        assertThat(endpoint.requests().get(0).header("x-team")).isEqualTo("dealers");
        assertThat(endpoint.requests().get(0).toString()).doesNotContain("others");
    }

    @Test
    void aKeyInThePathIsNoCredential() {
        assertThat(entry.ask("/once/x?access_token=k-1", "r1")).startsWith("HTTP/1.1 401");
    }

    @ParameterizedTest
    @ValueSource(strings = {"authorization: bearer k-2", "Authorization:  BEARER   k-2 "})
    void theSchemeIsReadInAnyCase(String header) {
        assertThat(entry.ask("/once/x", "r1", header)).endsWith("served");
    }

    @Test
    void aPublicRouteNeedsNoKeyAndForwardsNone() {
        assertThat(entry.ask("/many/x", "r1", "Authorization: Bearer unknown", "X-Team: others"))
                .endsWith("served");
        assertThat(endpoint.requests().get(0).header("x-team")).isEmpty();
        assertThat(endpoint.requests().get(0).header("Authorization")).isEmpty();
    }

    @Test
    void aKeyThatANewVersionTakesAwayIsDenied() {
        use(2, new AccessRules.Grant(new Team("dealers", Allowance.UNLIMITED), List.of("k-2")));
        assertThat(entry.ask("/once/x", "r1", KEY)).startsWith("HTTP/1.1 401");
    }

    @Test
    void withoutTeamsCredentialsAreForwarded() {
        try (TestEntry open = new TestEntry()) {
            open.updateRoutes(5_000);
            open.updateEndpoints(endpoint.member("s", Stage.WHOLE));
            assertThat(open.ask("/once/x", "r1", KEY)).endsWith("served");
            assertThat(endpoint.requests().get(0).header("Authorization")).isEqualTo("Bearer k-1");
        }
    }

    private static AccessRules.Grant limited(double perSecond, double burst) {
        Allowance allowance = new Allowance(Allowance.Unit.TOKENS, perSecond, burst, 100);
        return new AccessRules.Grant(new Team("dealers", allowance), List.of("k-1"));
    }

    @Test
    void whatExceedsAnAllowanceIsLimitedWithATimeToComeBack() throws InterruptedException {
        use(2, limited(100, 200));
        TimeUnit.MILLISECONDS.sleep(2_500);
        assertThat(entry.ask("/once/x", "r1", KEY)).endsWith("served");
        assertThat(entry.ask("/once/x", "r2", KEY)).endsWith("served");
        String refused = "";
        for (int i = 3; !refused.startsWith("HTTP/1.1 429") && i < 10; i++) {
            refused = entry.ask("/once/x", "r" + i, KEY);
        }
        assertThat(refused).startsWith("HTTP/1.1 429").containsPattern("x-come-back: [0-9]+");
        assertThat(endpoint.requests()).hasSizeLessThan(9);
    }

    // Guards against a team paying for requests that were refused without having run.
    @Test
    void aRequestThatIsRefusedUnrunCostsNothing() throws InterruptedException {
        use(2, limited(100, 100));
        entry.updateEndpoints();
        TimeUnit.MILLISECONDS.sleep(2_000);
        for (int i = 0; i < 10; i++) {
            assertThat(entry.ask("/once/x", "r" + i, KEY)).startsWith("HTTP/1.1 503");
        }
        entry.updateEndpoints(endpoint.member("s", Stage.WHOLE));
        assertThat(entry.ask("/once/x", "r10", KEY)).endsWith("served");
    }
}
