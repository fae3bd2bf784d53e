package org.quetzalseam.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RouteHistoryTest {
    private static final String HOST = "h";
    private static final String TARGET = "/a/x";
    private static final long WINDOW = 100;

    private final RouteHistory history = new RouteHistory();

    private void record(long version, String service, long now) {
        RouteRule route = new RouteRule(
                "a",
                HOST,
                "/a/",
                CallKind.STREAM,
                List.of(new ServiceShare(service, 1)),
                1,
                1_000,
                100,
                100,
                1_000,
                5,
                true,
                false);
        CallerLimits limits = new CallerLimits(1, 1, 1, 1);
        history.record(new RouteTable(version, List.of(route), List.of(), limits), WINDOW, now);
    }

    private Set<String> services(long now) {
        return history.services(HOST, TARGET, WINDOW, now);
    }

    // Guards against a service being forgotten whose streams may still be taken up, and against one being kept for
    // good.
    @Test
    void aServiceCountsForAsLongAsTheStreamsOfItsRouteMayBeTakenUp() {
        assertThat(services(0)).isEmpty();
        record(1, "s", 0);
        record(2, "t", 1_000);
        assertThat(services(1_100)).containsExactly("s", "t");
        assertThat(services(1_101)).containsExactly("t");
        assertThat(history.newest(HOST, TARGET).orElseThrow().services()).containsExactly("t");
    }

    // Guards against versions being lost by a question with a shorter time, or several changes leaving only the last.
    @Test
    void aShorterTimeForgetsNothing() {
        record(1, "s", 0);
        record(2, "t", 1_000);
        record(3, "u", 1_010);
        assertThat(history.services(HOST, TARGET, 1, 1_050)).containsExactly("u");
        assertThat(services(1_050)).containsExactly("s", "t", "u");
    }
}
