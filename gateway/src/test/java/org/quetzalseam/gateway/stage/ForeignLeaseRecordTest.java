package org.quetzalseam.gateway.stage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.MemoryStore;
import org.quetzalseam.gateway.store.StoredObject;

/** Tests lease records that another writer has left in the store. */
class ForeignLeaseRecordTest {
    private static final String KIND = "quetzalseam-leases";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final MemoryStore store = new MemoryStore();
    private long steadyNanos = 1;
    private long wallMillis = 1_000_000;
    private final StageLease lease = new StageLease(
            new Timers(new EmbeddedChannel().eventLoop(), () -> steadyNanos, () -> wallMillis), store, "s", "self");

    private static JsonNode json(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private void maintainAndAdvance() {
        lease.maintain();
        steadyNanos += TimeUnit.MILLISECONDS.toNanos(StageLease.RENEW_INTERVAL_MILLIS);
        wallMillis += StageLease.RENEW_INTERVAL_MILLIS;
    }

    private long storedEpoch() {
        JsonNode spec = store.spec(KIND, "s");
        return spec == null ? 0 : spec.path("epoch").asLong();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "null",
                "7",
                "\"self\"",
                "[]",
                "{}",
                "{\"holder\":\"self\"}",
                "{\"holder\":\"self\",\"epoch\":3}",
                "{\"holder\":\"self\",\"renewals\":0}",
                "{\"holder\":\"self\",\"epoch\":\"3\",\"renewals\":0}",
                "{\"holder\":\"self\",\"epoch\":3,\"renewals\":\"0\"}",
                "{\"holder\":\"self\",\"epoch\":3.5,\"renewals\":0}",
                "{\"holder\":\"self\",\"epoch\":-3,\"renewals\":0}",
                "{\"holder\":\"self\",\"epoch\":0,\"renewals\":0}",
                "{\"holder\":\"self\",\"epoch\":92233720368547758070,\"renewals\":0}",
                "{\"holder\":\"self\",\"epoch\":9223372036854775807,\"renewals\":0}",
                "{\"holder\":[\"self\"],\"epoch\":3,\"renewals\":0}",
                "{\"holder\":\"\",\"epoch\":3,\"renewals\":0}"
            })
    void anUnreadableRecordGivesNobodyTheLeaseAndIsTakenOverOnceItStaysUnchanged(String record) {
        for (int i = 0; i < 5; i++) {
            store.put(KIND, "s", json("{\"holder\":\"old\",\"epoch\":" + (i + 1) + ",\"renewals\":0}"));
        }
        store.put(KIND, "s", json(record));
        for (int i = 0; i < 3; i++) {
            assertThatCode(this::maintainAndAdvance).doesNotThrowAnyException();
            assertThat(lease.held()).isFalse();
            assertThat(lease.mayOrder()).isFalse();
        }
        for (int i = 0; i < 3; i++) {
            maintainAndAdvance();
        }
        assertThat(lease.held()).isTrue();
        assertThat(lease.epoch())
                .as("above the earlier epochs, which it never saw")
                .isGreaterThan(5);
        assertThat(storedEpoch()).isEqualTo(lease.epoch());
    }

    @Test
    void aRecordThatKeepsChangingIsNeverTakenOver() {
        for (int i = 0; i < 20; i++) {
            store.put(KIND, "s", json("{\"holder\":" + i + "}"));
            maintainAndAdvance();
            assertThat(lease.held()).isFalse();
        }
    }

    @Test
    void aHolderWhoseRecordAnotherWriterCorruptsLosesTheLeaseAndRegainsItUnderAHigherEpoch() {
        maintainAndAdvance();
        maintainAndAdvance();
        assertThat(lease.held()).isTrue();
        long before = lease.epoch();
        store.put(KIND, "s", json("{\"holder\":\"self\",\"epoch\":\"x\",\"renewals\":0}"));
        maintainAndAdvance();
        assertThat(lease.held()).isFalse();
        for (int i = 0; i < 6; i++) {
            maintainAndAdvance();
        }
        assertThat(lease.held()).isTrue();
        assertThat(lease.epoch()).isGreaterThan(before);
    }

    @Test
    void aRecordWithALowerEpochThanOneSeenGivesNobodyTheLease() {
        for (int i = 1; i <= 40; i++) {
            store.put(KIND, "s", json("{\"holder\":\"old\",\"epoch\":" + i + ",\"renewals\":0}"));
        }
        maintainAndAdvance();
        store.put(KIND, "s", json("{\"holder\":\"self\",\"epoch\":2,\"renewals\":0}"));
        maintainAndAdvance();
        assertThat(lease.held()).isFalse();
        for (int i = 0; i < 6; i++) {
            maintainAndAdvance();
        }
        assertThat(lease.held()).isTrue();
        assertThat(lease.epoch()).isGreaterThan(40);
    }

    @Test
    void aRecordWithAnEpochThatNoEntryCanHaveReachedGivesNobodyTheLease() {
        store.put(KIND, "s", json("{\"holder\":\"self\",\"epoch\":9007199254740991,\"renewals\":0}"));
        maintainAndAdvance();
        assertThat(lease.held()).isFalse();
        for (int i = 0; i < 6; i++) {
            maintainAndAdvance();
        }
        assertThat(lease.held()).isTrue();
        assertThat(lease.epoch()).isLessThan(10);
    }

    @Test
    void aStaleReadDoesNotMakeATakeOverRepeatAnEpoch() {
        store.put(KIND, "s", json("{\"holder\":\"old\",\"epoch\":1,\"renewals\":0}"));
        StoredObject before = store.put(KIND, "s", json("{\"holder\":\"old\",\"epoch\":1,\"renewals\":1}"));
        store.put(KIND, "s", json("{\"holder\":\"newer\",\"epoch\":2,\"renewals\":0}"));
        maintainAndAdvance();
        store.answerRecentReadsWith(before);
        for (int i = 0; i < 6 && !lease.held(); i++) {
            maintainAndAdvance();
        }
        assertThat(lease.held()).isTrue();
        assertThat(lease.epoch()).isGreaterThan(2);
    }

    @Test
    void anEntryThatFindsARecordInItsNameDelaysItsFirstOrder() {
        store.put(KIND, "s", json("{\"holder\":\"self\",\"epoch\":1,\"renewals\":0}"));
        lease.maintain();
        assertThat(lease.held()).isTrue();
        lease.renew(() -> {});
        assertThat(lease.mayOrder()).isFalse();
        maintainAndAdvance();
        maintainAndAdvance();
        lease.renew(() -> {});
        assertThat(lease.mayOrder()).isTrue();
    }
}
