package org.quetzalseam.core.catalogue;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class CatalogueInForceTest {
    private static final Duration MAX_WAIT = Duration.ofSeconds(30);

    private static CatalogueInForce.Accepted version(long version) {
        return new CatalogueInForce.Accepted(new Manifest(version, 0, "", Map.of()), Map.of(), Catalogue.empty());
    }

    @Test
    void aCallerWaitsUntilACatalogueIsInForce() {
        CatalogueInForce inForce = new CatalogueInForce();
        CompletableFuture<Boolean> early = CompletableFuture.supplyAsync(() -> inForce.awaitFirst(MAX_WAIT));
        assertThat(early).isNotDone();
        assertThat(inForce.offer(version(3))).isTrue();
        assertThat(early.join()).isTrue();
    }

    @Test
    void theWaitForACatalogueTimesOut() {
        assertThat(new CatalogueInForce().awaitFirst(Duration.ofMillis(5))).isFalse();
    }

    @Test
    void anOlderVersionIsNeverAccepted() {
        CatalogueInForce inForce = new CatalogueInForce();
        inForce.offer(version(7));
        assertThat(inForce.offer(version(6))).isFalse();
        assertThat(inForce.offer(version(7))).isFalse();
        assertThat(inForce.version()).isEqualTo(7);
    }
}
