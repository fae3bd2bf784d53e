package org.quetzalseam.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ConnectionShareTest {
    @Test
    void allEntriesTogetherStayBelowWhatAnEndpointTakes() {
        for (int entries : new int[] {1, 2, 5, 27, 100}) {
            assertThat(entries * ConnectionShare.of(320, entries)).isLessThan(320);
        }
    }

    @Test
    void anEntryCanAlwaysReachAnEndpoint() {
        assertThat(ConnectionShare.of(110, 400)).isEqualTo(2);
    }

    @Test
    void whileEntriesArentCountedALargeSiteIsAssumed() {
        assertThat(ConnectionShare.of(320, 0) * 24).isLessThanOrEqualTo(320);
    }
}
