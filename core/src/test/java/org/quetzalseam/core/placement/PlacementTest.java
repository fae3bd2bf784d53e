package org.quetzalseam.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class PlacementTest {
    private static final List<String> NAMES = List.of("a", "b", "c", "d", "e", "f");

    @Test
    void onlyTheKeysOfARemovedNameMove() {
        List<String> fewer = new ArrayList<>(NAMES);
        fewer.remove("c");
        for (long key = 0; key < 500; key++) {
            String before = NAMES.get(Rendezvous.top(NAMES, key));
            String after = fewer.get(Rendezvous.top(fewer, key));
            if (!before.equals("c")) {
                assertThat(after).isEqualTo(before);
            }
        }
    }

    @Test
    void keysAreSpreadOverAllNames() {
        int[] counts = new int[NAMES.size()];
        for (long key = 0; key < 6000; key++) {
            counts[Rendezvous.top(NAMES, key)]++;
        }
        assertThat(Arrays.stream(counts).boxed().toList())
                .allSatisfy(count -> assertThat(count).isBetween(800, 1200));
    }

    @Test
    void theLeastBacklogWinsAndThenTheOwnZone() {
        List<Candidate> candidates = List.of(
                new Candidate("a", "north", 5, 10),
                new Candidate("b", "north", 5, 0),
                new Candidate("c", "south", 5, 0));
        assertThat(Placement.leastBacklog().choose(candidates, 0, "south")).isEqualTo(2);
        assertThat(Placement.leastBacklog().choose(candidates, 0, "north")).isEqualTo(1);
    }

    @Test
    void affinityIsIgnoredWhenItsEndpointIsMuchBusier() {
        List<Candidate> even = List.of(new Candidate("a", "z", 5, 0), new Candidate("b", "z", 5, 0));
        int preferred = Placement.prefixAffinity(100).choose(even, 77, "z");
        List<Candidate> busy = new ArrayList<>(even);
        busy.set(preferred, new Candidate(even.get(preferred).id(), "z", 5, 101));
        assertThat(Placement.prefixAffinity(100).choose(busy, 77, "z")).isEqualTo(1 - preferred);
    }

    @Test
    void anEndpointThatKeepsFailingIsEjectedForAWhile() {
        Ejection ejection = new Ejection();
        ejection.recordFailure(0);
        ejection.recordFailure(0);
        assertThat(ejection.isEjected(1)).isFalse();
        ejection.recordFailure(0);
        assertThat(ejection.isEjected(1)).isTrue();
        assertThat(ejection.isEjected(2_000_000_000L)).isFalse();
    }
}
