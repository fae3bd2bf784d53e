package org.quetzalseam.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RouteHistoryTest {
    private static final String HOST = "h";
    private static final String TARGET = "/a/x";
    private static final long WINDOW = 100;
    private static final long MAX_BYTES = 4 * 1024 * 1024;

    private final RouteHistory history = new RouteHistory(MAX_BYTES);

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

    private static RouteRule route(String prefix, String service) {
        return new RouteRule(
                prefix,
                HOST,
                prefix,
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
    }

    private static RouteTable table(long version, List<RouteRule> routes) {
        return new RouteTable(version, routes, List.of(), new CallerLimits(1, 1, 1, 1));
    }

    // Guards against a service being forgotten to which a shorter prefix led before a longer one was added, or a longer
    // one before it was removed.
    @Test
    void routesThatWereAddedOrRemovedCountAsTheyWere() {
        history.record(table(1, List.of(route("/", "short"))), WINDOW, 0);
        history.record(table(2, List.of(route("/", "short"), route("/a/", "long"))), WINDOW, 1_000);
        assertThat(services(1_100)).containsExactlyInAnyOrder("long", "short");
        assertThat(services(1_101)).containsExactly("long");
        history.record(table(3, List.of(route("/", "other"))), WINDOW, 2_000);
        assertThat(services(2_000)).contains("long", "other");
        assertThat(services(2_101)).containsExactly("other");
    }

    /** The versions themselves, as a reference. */
    private static final class WholeVersions {
        private final List<RouteTable> tables = new ArrayList<>();
        private final List<Long> since = new ArrayList<>();

        void record(RouteTable table, long now) {
            tables.add(table);
            since.add(now);
        }

        Set<String> services(long now) {
            Set<String> services = new HashSet<>();
            for (int i = 0; i < tables.size(); i++) {
                if (i + 1 == tables.size() || now - since.get(i + 1) <= WINDOW) {
                    tables.get(i).find(HOST, TARGET).ifPresent(rule -> services.addAll(rule.services()));
                }
            }
            return services;
        }
    }

    @Test
    void noServiceIsMissingThatAnyVersionOfTheTimeLedTo() {
        Random random = new Random(1);
        WholeVersions whole = new WholeVersions();
        long now = 0;
        for (int version = 1; version < 5_000; version++) {
            List<RouteRule> routes = new ArrayList<>();
            for (String prefix : List.of("/", "/a/", "/a/b/")) {
                if (random.nextInt(3) > 0) {
                    routes.add(route(prefix, "s" + random.nextInt(4)));
                }
            }
            now += random.nextInt(60);
            history.record(table(version, routes), WINDOW, now);
            whole.record(table(version, routes), now);
            long later = now + random.nextInt(150);
            assertThat(services(later)).as("version %d", version).containsAll(whole.services(later));
        }
    }

    private static List<RouteRule> routes(int count, String service) {
        List<RouteRule> routes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            routes.add(route("/more" + i + "/", service));
        }
        return routes;
    }

    // Guards against versions in quick succession filling the heap of the deploy file, 96 MB.
    @Test
    void manyVersionsOfALargeDesiredStateTakeLittleMemory() {
        List<RouteRule> routes = routes(1_750, "s");
        for (int version = 1; version <= 200; version++) {
            routes.add(route("/added" + version + "/", "s"));
            history.record(table(version, routes), WINDOW, 1_000);
        }
        assertThat(history.bytes()).as("bytes for 199 routes added").isLessThan(100_000);
        assertThat(history.complete(WINDOW, 1_000)).isTrue();
    }

    // Guards against memory that grows with the number of versions where each of them moves all routes.
    @Test
    void versionsThatMoveEveryRouteStayWithinTheMemoryAndCountAsIncomplete() {
        for (int version = 1; version <= 1_000; version++) {
            history.record(table(version, routes(1_750, "service-of-version-" + version)), WINDOW, version);
            assertThat(history.bytes()).isLessThanOrEqualTo(MAX_BYTES);
        }
        assertThat(history.complete(WINDOW, 1_000)).isFalse();
        history.record(table(1_001, routes(1_750, "last")), WINDOW, 10_000);
        assertThat(history.complete(WINDOW, 10_000)).isTrue();
        assertThat(history.bytes()).as("what was replaced longer ago").isLessThan(1_000_000);
    }

    @Test
    void memoryIsGivenBackWhenWhatDifferedIsLongAgo() {
        history.record(table(1, routes(1_000, "s")), WINDOW, 0);
        history.record(table(2, routes(1_000, "t")), WINDOW, 1);
        assertThat(history.bytes()).isGreaterThan(0);
        history.record(table(3, routes(1_000, "t")), WINDOW, 1_000);
        assertThat(history.bytes()).isZero();
    }
}
