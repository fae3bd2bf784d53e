package org.quetzalseam.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.fleet.Member;
import org.quetzalseam.core.fleet.Stage;

class StreamOriginTest {
    private static Member member(String id, long startMillis, String service, @Nullable String build) {
        return new Member(id, startMillis, service, "10.0.0.1", 80, "z", 4, false, Stage.DECODE, build);
    }

    private static final Member FIRST = member("i-1", 5, "s", "v1");

    @Test
    void aStreamMayGoOnAtItsBuildOnly() {
        StreamOrigin origin = StreamOrigin.at(FIRST);
        assertThat(origin.allows(FIRST)).isTrue();
        assertThat(origin.allows(member("i-2", 7, "s", "v1"))).isTrue();
        assertThat(origin.allows(member("i-2", 7, "s", "v2"))).isFalse();
        assertThat(origin.allows(member("i-2", 7, "other", "v1"))).isFalse();
    }

    // Guards against an endpoint that restarted under its id with another build, unknown so far, counting as the same.
    @Test
    void anEndpointThatHasRestartedCountsAsAnyOther() {
        StreamOrigin origin = StreamOrigin.at(FIRST);
        assertThat(origin.allows(FIRST.restartedAt(9))).isFalse();
        assertThat(origin.allows(member("i-1", 9, "s", "v1"))).isTrue();
    }

    @Test
    void aStreamOfAnUnknownBuildMayGoOnWhereItBeganOnly() {
        StreamOrigin origin = StreamOrigin.at(member("i-1", 5, "s", null));
        assertThat(origin.allows(FIRST)).isTrue();
        assertThat(origin.allows(member("i-2", 7, "s", null))).isFalse();
        assertThat(origin.allows(member("i-2", 7, "s", "v1"))).isFalse();
    }

    @Test
    void twoAttemptsUnderOneIdAtDifferentBuildsAllowNoEndpoint() {
        Member second = member("i-2", 7, "s", "v2");
        StreamOrigin merged = StreamOrigin.at(FIRST).merge(StreamOrigin.at(second));
        assertThat(merged.allows(FIRST)).isFalse();
        assertThat(merged.allows(second)).isFalse();
        assertThat(merged.merge(StreamOrigin.at(FIRST)).allows(FIRST)).isFalse();
    }

    @Test
    void statementsOfTheSameBuildAgree() {
        StreamOrigin unknownBuild = StreamOrigin.at(member("i-1", 5, "s", null));
        assertThat(unknownBuild.merge(StreamOrigin.at(FIRST))).isEqualTo(StreamOrigin.at(FIRST));
        StreamOrigin other = StreamOrigin.at(member("i-2", 7, "s", "v1"));
        assertThat(StreamOrigin.at(FIRST).merge(other)).isEqualTo(StreamOrigin.at(FIRST));
    }
}
