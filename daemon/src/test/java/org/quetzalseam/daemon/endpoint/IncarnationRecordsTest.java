package org.quetzalseam.daemon.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.daemon.platform.HttpObjectStore;
import org.quetzalseam.standins.PlatformStandIn;

class IncarnationRecordsTest {
    private final PlatformStandIn platform = new PlatformStandIn();

    @AfterEach
    void stop() {
        platform.stop();
    }

    private IncarnationRecords records(long incarnation) {
        return new IncarnationRecords(new HttpObjectStore(platform.url()), "service-1", incarnation);
    }

    @Test
    void theFirstProcessOfItsNameHasNoPredecessor() {
        IncarnationRecords first = records(1);
        assertThat(first.mayHaveBeenSeen("k")).isTrue();
        assertThat(first.recordStart()).isTrue();
        assertThat(first.mayHaveBeenSeen("k")).isFalse();
    }

    @Test
    void aPredecessorThatCrashedMayHaveSeenAnyKey() {
        records(1).recordStart();
        IncarnationRecords second = records(2);
        assertThat(second.recordStart()).isTrue();
        assertThat(second.mayHaveBeenSeen("k")).isTrue();
    }

    @Test
    void aPredecessorThatStoppedAsPlannedHasSeenOnlyTheKeysItRecorded() {
        IncarnationRecords first = records(1);
        first.recordStart();
        first.recordPlannedStop(List.of("seen"));
        IncarnationRecords second = records(2);
        second.recordStart();
        assertThat(second.mayHaveBeenSeen("seen")).isTrue();
        assertThat(second.mayHaveBeenSeen("other")).isFalse();
    }

    @Test
    void aWriteWhoseAnswerIsLostIsRecognizedOnTheNextAttempt() {
        platform.loseAnswers(1);
        IncarnationRecords first = records(1);
        assertThat(first.recordStart()).isFalse();
        assertThat(first.recordStart()).isTrue();
        first.recordPlannedStop(List.of());
        IncarnationRecords second = records(2);
        second.recordStart();
        assertThat(second.mayHaveBeenSeen("k")).isFalse();
    }

    @Test
    void nothingIsKnownWhileTheStoreIsDown() {
        platform.down(true);
        IncarnationRecords first = records(1);
        assertThat(first.recordStart()).isFalse();
        assertThat(first.mayHaveBeenSeen("k")).isTrue();
    }

    /**
     * The store was restored to a copy with the record of the process before the predecessor; then the predecessor
     * crashed.
     */
    @Test
    void aPlannedStopInARestoredStoreMayNotBeTheLatestRecord() {
        IncarnationRecords first = records(1);
        first.recordStart();
        first.recordPlannedStop(List.of());
        PlatformStandIn.Copy copy = platform.copy();
        records(2).recordStart();
        platform.restore(copy);
        IncarnationRecords third = records(3);
        assertThat(third.recordStart()).isTrue();
        assertThat(third.mayHaveBeenSeen("k")).isTrue();
    }

    @Test
    void aMissingRecordInARestoredStoreDoesNotMeanThatThereWasNoPredecessor() {
        PlatformStandIn.Copy copy = platform.copy();
        records(1).recordStart();
        platform.restore(copy);
        IncarnationRecords second = records(2);
        assertThat(second.recordStart()).isTrue();
        assertThat(second.mayHaveBeenSeen("k")).isTrue();
    }

    @Test
    void aPlannedStopAfterTheStoreWasRestoredIsKnown() {
        PlatformStandIn.Copy copy = platform.copy();
        IncarnationRecords first = records(1);
        first.recordStart();
        platform.restore(copy);
        first.recordPlannedStop(List.of("seen"));
        IncarnationRecords second = records(2);
        second.recordStart();
        assertThat(second.mayHaveBeenSeen("seen")).isTrue();
        assertThat(second.mayHaveBeenSeen("other")).isFalse();
    }

    /** A copy that is older than the process holds the record of its predecessor in place of its own. */
    @Test
    void aPlannedStopIsKnownThoughTheRestoredStoreShowsThePredecessor() {
        records(1).recordStart();
        PlatformStandIn.Copy copy = platform.copy();
        IncarnationRecords second = records(2);
        second.recordStart();
        platform.restore(copy);
        second.recordPlannedStop(List.of("seen"));
        IncarnationRecords third = records(3);
        third.recordStart();
        assertThat(third.mayHaveBeenSeen("seen")).isTrue();
        assertThat(third.mayHaveBeenSeen("other")).isFalse();
    }

    /** A process that stops late does not overwrite the record that its successor wrote in the new era. */
    @Test
    void aSuccessorsRecordOfTheNewEraIsNotOverwritten() {
        PlatformStandIn.Copy copy = platform.copy();
        IncarnationRecords first = records(1);
        first.recordStart();
        platform.restore(copy);
        IncarnationRecords second = records(2);
        second.recordStart();
        first.recordPlannedStop(List.of());
        IncarnationRecords third = records(3);
        third.recordStart();
        assertThat(third.mayHaveBeenSeen("k")).isTrue();
    }

    // Guards against a spoilt record that ends the process at each start, or leaves it without a record of its own.
    @Test
    void aRecordThatCannotBeReadCountsAsThatOfACrash() {
        String deep = "[".repeat(100_000) + "]".repeat(100_000);
        for (String content :
                List.of("?", "", Base64.getEncoder().encodeToString(deep.getBytes(StandardCharsets.UTF_8)))) {
            platform.overwrite("tenure-odd", content);
            IncarnationRecords records = new IncarnationRecords(new HttpObjectStore(platform.url()), "odd", 2);
            assertThat(records.recordStart()).as(content).isTrue();
            assertThat(records.mayHaveBeenSeen("key")).isTrue();
        }
    }
}
