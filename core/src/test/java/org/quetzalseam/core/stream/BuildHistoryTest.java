package org.quetzalseam.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.fleet.Member;
import org.quetzalseam.core.fleet.Stage;

class BuildHistoryTest {
    private static final long WINDOW = 100;

    private final BuildHistory history = new BuildHistory();

    private static Member member(@Nullable String build) {
        return new Member("i-" + build, 0, "s", "10.0.0.1", 80, "z", 4, false, Stage.WHOLE, build);
    }

    @Test
    void theOnlyBuildIsKnownOnceAllTheTimeIs() {
        history.recordList(0, false);
        history.update(List.of(member("v1")), 0);
        assertThat(history.onlyBuild("s", WINDOW, 99)).isEmpty();
        assertThat(history.onlyBuild("s", WINDOW, 100)).contains("v1");
        assertThat(history.onlyBuild("other", WINDOW, 100)).isEmpty();
    }

    @Test
    void nothingServedBeforeTheFirstStartOfASite() {
        history.recordList(0, true);
        history.update(List.of(member("v1")), 0);
        assertThat(history.onlyBuild("s", WINDOW, 1)).contains("v1");
    }

    // Guards against a stream of a build that has just gone counting as one of the build that is left.
    @Test
    void aBuildThatHasGoneCountsForAsLongAsItsStreamsMayBeTakenUp() {
        history.recordList(0, true);
        history.update(List.of(member("v1"), member("v2")), 0);
        history.update(List.of(member("v2")), 500);
        assertThat(history.onlyBuild("s", WINDOW, 600)).isEmpty();
        assertThat(history.onlyBuild("s", WINDOW, 601)).contains("v2");
    }

    // Guards against a build being missed that came and went while changes were not received.
    @Test
    void whatServedBetweenTwoListsIsNotKnown() {
        history.recordList(0, true);
        history.update(List.of(member("v1")), 0);
        history.recordList(1_000, false);
        history.update(List.of(member("v1")), 1_000);
        assertThat(history.onlyBuild("s", WINDOW, 1_099)).isEmpty();
        assertThat(history.onlyBuild("s", WINDOW, 1_100)).contains("v1");
    }

    @Test
    void theBuildsSeenAreStatedThoughNotAllTheTimeIsKnown() {
        history.recordList(0, false);
        history.update(List.of(member("v1"), member("v2"), member(null)), 0);
        history.update(List.of(member("v2")), 50);
        assertThat(history.builds("s", WINDOW, 60)).containsExactlyInAnyOrder("v1", "v2");
        assertThat(history.builds("s", WINDOW, 151)).containsExactly("v2");
    }

    @Test
    void anUnknownBuildIsNotTheOnlyOne() {
        history.recordList(0, true);
        history.update(List.of(member(null)), 0);
        assertThat(history.onlyBuild("s", WINDOW, 1)).isEmpty();
        history.update(List.of(member("v1")), 2);
        assertThat(history.onlyBuild("s", WINDOW, 3)).isEmpty();
    }

    // Guards against builds that came and went filling the memory, and against what was forgotten counting as never
    // there.
    @Test
    void ofManyBuildsThoseThatServeNowStayKnownAndTheRestCountsAsUnknown() {
        history.recordList(0, true);
        int builds = (int) (2 * BuildHistory.MAX_BYTES / 200);
        for (int i = 0; i < builds; i++) {
            history.update(List.of(member("v" + i)), i);
        }
        long now = builds;
        assertThat(history.complete(now, now)).as("all that time is known").isFalse();
        assertThat(history.builds("s", now, now)).contains("v" + (builds - 1)).hasSizeLessThan(builds / 2);
    }
}
