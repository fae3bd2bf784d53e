package org.quetzalseam.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests when an entry writes the origins of its streams, and what it writes. */
class OriginNotesTest {
    private static final StreamOrigin V1 = StreamOrigin.atBuild("s", "v1");
    private static final long KEEP_MILLIS = 15_000;

    private final OriginNotes notes = new OriginNotes(0);

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    // Guards against calls while one build serves, and against losing streams that began before the second came.
    @Test
    void nothingIsDueBeforeSeveralBuildsServeAndThenAllStreamsAre() {
        notes.record("a", V1, KEEP_MILLIS, 0);
        assertThat(notes.due(false, 4, nanos(10_000))).isFalse();
        assertThat(notes.due(true, 4, nanos(10_100))).isTrue();
        assertThat(notes.batch(4, nanos(10_100), 10_100))
                .extracting(NotedOrigin::stream)
                .containsExactly(NotedOrigin.digest("a"));
    }

    // Guards against batches without news, and against a failed batch that is repeated at once or never.
    @Test
    void aBatchIsDueOnlyForNewStreamsOrAfterAFailure() {
        notes.record("a", V1, KEEP_MILLIS, 0);
        assertThat(notes.due(true, 4, 0)).isTrue();
        notes.batch(4, 0, 0);
        assertThat(notes.due(true, 4, nanos(5_000))).isFalse();
        notes.missing(4, nanos(5_000));
        assertThat(notes.due(true, 4, nanos(5_499))).isFalse();
        assertThat(notes.due(true, 4, nanos(5_500))).isTrue();
    }

    // Guards against a stream whose id was used twice going on at one of its builds.
    @Test
    void twoOriginsUnderOneIdAllowNoBuild() {
        notes.inherit(List.of(new NotedOrigin(NotedOrigin.digest("a"), "s", "v2", 20)), 0);
        notes.record("a", V1, KEEP_MILLIS, 0);
        assertThat(notes.batch(4, 0, 0)).extracting(NotedOrigin::build).containsExactly("");
    }

    // Guards against objects that grow without a bound.
    @Test
    void expiredStreamsAndThoseBeyondTheMaximumAreForgotten() {
        for (int i = 0; i <= OriginNotes.MAX_STREAMS; i++) {
            notes.record("a" + i, V1, KEEP_MILLIS, 0);
        }
        assertThat(notes.batch(4, 0, 0))
                .hasSize(OriginNotes.MAX_STREAMS)
                .extracting(NotedOrigin::stream)
                .doesNotContain(NotedOrigin.digest("a0"));
        assertThat(notes.batch(4, 0, KEEP_MILLIS + 2_000)).isEmpty();
    }

    // Guards against many entries writing more often together than the store takes.
    @ParameterizedTest
    @CsvSource({"4,8", "40,80", "400,100"})
    void allEntriesTogetherWriteAtMostAHundredTimesASecond(int entries, int writesPerSecond) {
        int batches = 0;
        long seconds = 60;
        for (long millis = 0; millis < seconds * 1_000; millis += 100) {
            notes.record("a" + millis, V1, millis + KEEP_MILLIS, millis);
            if (notes.due(true, entries, nanos(millis))) {
                notes.batch(entries, nanos(millis), millis);
                batches++;
            }
        }
        assertThat((long) batches * entries).isLessThanOrEqualTo(writesPerSecond * seconds);
    }
}
