package org.quetzalseam.daemon.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.daemon.platform.HttpObjectStore;
import org.quetzalseam.standins.PlatformStandIn;

class TenureTest {
    private final PlatformStandIn platform = new PlatformStandIn();

    @AfterEach
    void stop() {
        platform.stop();
    }

    private Tenure tenure(long incarnation) {
        return new Tenure(new HttpObjectStore(platform.url()), "service-1", incarnation);
    }

    @Test
    void theFirstProcessOfItsNameHasNoPredecessor() {
        Tenure first = tenure(1);
        assertThat(first.mayHaveBeenSeen("k")).isTrue();
        assertThat(first.begin()).isTrue();
        assertThat(first.mayHaveBeenSeen("k")).isFalse();
    }

    @Test
    void aPredecessorThatCrashedMayHaveSeenAnyKey() {
        tenure(1).begin();
        Tenure second = tenure(2);
        assertThat(second.begin()).isTrue();
        assertThat(second.mayHaveBeenSeen("k")).isTrue();
    }

    @Test
    void aPredecessorThatLeftAsPlannedHasSeenWhatItSaid() {
        Tenure first = tenure(1);
        first.begin();
        first.end(List.of("seen"));
        Tenure second = tenure(2);
        second.begin();
        assertThat(second.mayHaveBeenSeen("seen")).isTrue();
        assertThat(second.mayHaveBeenSeen("other")).isFalse();
    }

    @Test
    void aWriteWhoseAnswerIsLostIsRecognizedOnTheNextTry() {
        platform.loseAnswers(1);
        Tenure first = tenure(1);
        assertThat(first.begin()).isFalse();
        assertThat(first.begin()).isTrue();
        first.end(List.of());
        Tenure second = tenure(2);
        second.begin();
        assertThat(second.mayHaveBeenSeen("k")).isFalse();
    }

    @Test
    void nothingIsKnownWhileTheStoreIsDown() {
        platform.down(true);
        Tenure first = tenure(1);
        assertThat(first.begin()).isFalse();
        assertThat(first.mayHaveBeenSeen("k")).isTrue();
    }

    /** The predecessor crashed after the store came back; its predecessor's word is what the copy shows. */
    @Test
    void thePlannedStopThatAnOlderCopyShowsIsNotTheLastWord() {
        Tenure first = tenure(1);
        first.begin();
        first.end(List.of());
        PlatformStandIn.Copy copy = platform.copy();
        tenure(2).begin();
        platform.restore(copy);
        Tenure third = tenure(3);
        assertThat(third.begin()).isTrue();
        assertThat(third.mayHaveBeenSeen("k")).isTrue();
    }

    @Test
    void thatAnOlderCopyShowsNoRecordDoesNotMeanThatNoProcessWasBefore() {
        PlatformStandIn.Copy copy = platform.copy();
        tenure(1).begin();
        platform.restore(copy);
        Tenure second = tenure(2);
        assertThat(second.begin()).isTrue();
        assertThat(second.mayHaveBeenSeen("k")).isTrue();
    }

    @Test
    void aPlannedStopAfterTheStoreCameBackIsKnown() {
        PlatformStandIn.Copy copy = platform.copy();
        Tenure first = tenure(1);
        first.begin();
        platform.restore(copy);
        first.end(List.of("seen"));
        Tenure second = tenure(2);
        second.begin();
        assertThat(second.mayHaveBeenSeen("seen")).isTrue();
        assertThat(second.mayHaveBeenSeen("other")).isFalse();
    }

    /** Where the copy is from before the process, its record there is its predecessor's. */
    @Test
    void aPlannedStopIsKnownThoughTheCopyShowsThePredecessor() {
        tenure(1).begin();
        PlatformStandIn.Copy copy = platform.copy();
        Tenure second = tenure(2);
        second.begin();
        platform.restore(copy);
        second.end(List.of("seen"));
        Tenure third = tenure(3);
        third.begin();
        assertThat(third.mayHaveBeenSeen("seen")).isTrue();
        assertThat(third.mayHaveBeenSeen("other")).isFalse();
    }

    /** A process that is told late to stop doesn't overwrite what its successor left in the new era. */
    @Test
    void aSuccessorsRecordOfTheNewEraIsLeftAsItIs() {
        PlatformStandIn.Copy copy = platform.copy();
        Tenure first = tenure(1);
        first.begin();
        platform.restore(copy);
        Tenure second = tenure(2);
        second.begin();
        first.end(List.of());
        Tenure third = tenure(3);
        third.begin();
        assertThat(third.mayHaveBeenSeen("k")).isTrue();
    }
}
