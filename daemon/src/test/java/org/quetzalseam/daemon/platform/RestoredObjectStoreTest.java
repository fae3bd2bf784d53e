package org.quetzalseam.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.standins.PlatformStandIn;
import org.quetzalseam.standins.PlatformStandIn.ListedVm;

class RestoredObjectStoreTest {
    private static final Duration LONG = Duration.ofSeconds(20);
    private static final long LIMIT_SECONDS = 5;
    private static final ListedVm VM = new ListedVm("vm", "endpoint", "zone", "pool", 1, 1, false);

    private final PlatformStandIn platform = new PlatformStandIn();
    private final ObjectStore store = new HttpObjectStore(platform.url());

    @AfterEach
    void stop() {
        platform.stop();
    }

    private static byte[] value(int number) {
        return new byte[] {(byte) number};
    }

    @Test
    void aVersionReissuedAfterARestoreIsGreaterThanTheOneBefore() {
        PlatformStandIn.Copy copy = platform.copy();
        long before = store.create("a", value(1)).version();
        platform.restore(copy);
        assertThat(store.create("a", value(2)).version()).isGreaterThan(before);
    }

    /** The watched version exists again after the restore, with different content. */
    @Test
    void aWatchFromAVersionOfThePreviousEraIsAnsweredAtOnce() throws Exception {
        PlatformStandIn.Copy copy = platform.copy();
        long before = store.create("a", value(1)).version();
        platform.restore(copy);
        new HttpObjectStore(platform.url()).create("a", value(2));
        // Any response of the new era informs the client.
        assertThat(store.read("b")).isEmpty();
        assertThat(watched(before)).containsExactly(2);
    }

    /** The response to the watch is the first that states the new era. */
    @Test
    void aWatchThatWaitsDuringARestoreReturnsTheRestoredObject() throws Exception {
        store.create("a", value(1));
        PlatformStandIn.Copy copy = platform.copy();
        long before = store.replace("a", value(2), store.read("a").orElseThrow().version())
                .version();
        CompletableFuture<byte[]> watch = CompletableFuture.supplyAsync(() -> watchOnce(before));
        TimeUnit.MILLISECONDS.sleep(200);
        platform.restore(copy);
        assertThat(watch.get(LIMIT_SECONDS, TimeUnit.SECONDS)).containsExactly(1);
    }

    private byte[] watched(long before) throws Exception {
        return CompletableFuture.supplyAsync(() -> watchOnce(before)).get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private byte[] watchOnce(long before) {
        return store.watch("a", before, LONG).orElseThrow().value();
    }

    @Test
    void aWriteConditionalOnAVersionOfThePreviousEraOverwritesNothing() {
        PlatformStandIn.Copy copy = platform.copy();
        long before = store.create("a", value(1)).version();
        platform.restore(copy);
        ObjectStore other = new HttpObjectStore(platform.url());
        other.create("a", value(2));
        assertThat(store.read("b")).isEmpty();
        assertThatThrownBy(() -> store.replace("a", value(3), before))
                .isInstanceOfSatisfying(
                        StoreException.class, e -> assertThat(e.code()).isEqualTo(StoreException.Code.CONFLICT));
        assertThat(other.read("a").orElseThrow().value()).containsExactly(2);
    }

    /** The writer did not know of the new era: the write took effect, but on another object state than the one it was meant for. */
    @Test
    void aWriteAnsweredInALaterEraThanItsConditionHasAnUnknownOutcome() {
        PlatformStandIn.Copy copy = platform.copy();
        long before = store.create("a", value(1)).version();
        platform.restore(copy);
        new HttpObjectStore(platform.url()).create("a", value(2));
        assertThatThrownBy(() -> store.replace("a", value(3), before))
                .isInstanceOfSatisfying(
                        StoreException.class, e -> assertThat(e.code()).isEqualTo(StoreException.Code.UNAVAILABLE));
    }

    @Test
    void aMemberListOfTheNewEraHasAGreaterVersionThanAnyBefore() {
        platform.list(VM);
        PlatformStandIn.Copy copy = platform.copy();
        platform.unlist(VM.name());
        long before = store.members(0, Duration.ZERO).version();
        platform.restore(copy);
        MemberList now = store.members(before, LONG);
        assertThat(now.version()).isGreaterThan(before);
        assertThat(now.vms()).hasSize(1);
    }

    /** The store answers such a watch at once each time, so a loop that took this for an expired wait would poll without pause. */
    @Test
    void aWatchOfAnObjectMissingFromTheRestoredCopyFails() {
        PlatformStandIn.Copy copy = platform.copy();
        long before = store.create("a", value(1)).version();
        platform.restore(copy);
        assertThatThrownBy(() -> store.watch("a", before, LONG))
                .isInstanceOfSatisfying(
                        StoreException.class, e -> assertThat(e.code()).isEqualTo(StoreException.Code.REFUSED));
    }
}
