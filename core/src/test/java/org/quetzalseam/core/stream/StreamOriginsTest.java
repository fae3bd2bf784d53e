package org.quetzalseam.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class StreamOriginsTest {
    private static final StreamOrigin V1 = StreamOrigin.atBuild("s", "v1");
    private static final StreamOrigin V2 = StreamOrigin.atBuild("s", "v2");

    private final StreamOrigins origins = new StreamOrigins();

    @Test
    void anOriginIsKnownUntilItsCallerCanNoLongerReturn() {
        origins.record("a", V1, 100, 0);
        assertThat(origins.find("a", 99)).hasValueSatisfying(known -> {
            assertThat(known.origin()).isEqualTo(V1);
            assertThat(known.recordedAt()).isZero();
        });
        assertThat(origins.find("a", 100)).isEmpty();
        assertThat(origins.find("b", 0)).isEmpty();
    }

    @Test
    void aRecordThatIsRepeatedLastsForAsLongAsTheLaterOne() {
        origins.record("a", V1, 100, 0);
        origins.record("a", V1, 300, 50);
        origins.record("a", V1, 200, 60);
        assertThat(origins.find("a", 299)).isPresent();
        assertThat(origins.find("a", 300)).isEmpty();
    }

    @Test
    void anIdThatIsUsedAgainAfterItsTimeCountsAsNew() {
        origins.record("a", V1, 100, 0);
        origins.record("a", V2, 300, 150);
        assertThat(origins.find("a", 200))
                .hasValueSatisfying(known -> assertThat(known.origin()).isEqualTo(V2));
    }

    @Test
    void theOldestIsForgottenWhenThereAreTooMany() {
        for (int i = 0; i <= StreamOrigins.MAX_STREAMS; i++) {
            origins.record("a" + i, V1, 1_000_000, i);
        }
        assertThat(origins.size()).isEqualTo(StreamOrigins.MAX_STREAMS);
        assertThat(origins.find("a0", 0)).isEmpty();
        assertThat(origins.find("a1", 0)).isPresent();
    }

    @Test
    void expiredOnesMakeRoomAndAreNotHandedOver() {
        origins.record("a", V1, 100, 0);
        origins.record("b", V1, 500, 200);
        List<String> attempts = new ArrayList<>();
        origins.forEach(200, (attempt, known) -> attempts.add(attempt));
        assertThat(attempts).containsExactly("b");
        assertThat(origins.size()).isEqualTo(1);
    }
}
