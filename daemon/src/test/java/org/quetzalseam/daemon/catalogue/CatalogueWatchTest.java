package org.quetzalseam.daemon.catalogue;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.catalogue.CatalogueInForce;
import org.quetzalseam.daemon.platform.HttpObjectStore;
import org.quetzalseam.daemon.platform.MemberList;
import org.quetzalseam.daemon.platform.ObjectStore;
import org.quetzalseam.daemon.platform.StoreException;
import org.quetzalseam.daemon.platform.StoredObject;

class CatalogueWatchTest {
    /** Time within which a change must be in force everywhere. */
    private static final Duration MAX_TIME_TO_IN_FORCE = Duration.ofSeconds(14);
    /** Longest pause after a failed call. */
    private static final Duration MAX_RETRY_PAUSE = Duration.ofSeconds(1);

    private final UnresponsiveStore store = new UnresponsiveStore();
    private final CatalogueWatch watch = new CatalogueWatch(new CatalogueStore(store), new CatalogueInForce(), "test");

    @AfterEach
    void stop() {
        watch.stop();
    }

    // Guards against a change that takes effect too late because its watch waits on an unresponsive connection, and
    // then
    // on a second one.
    @Test
    void aChangeIsInForceInTimeAfterTwoUnresponsiveConnectionsInARow() throws InterruptedException {
        watch.start();
        store.nextWait();
        Duration firstUnresponsive =
                store.nextWait().plus(HttpObjectStore.TIMEOUT).plus(MAX_RETRY_PAUSE);
        Duration secondUnresponsive =
                store.nextWait().plus(HttpObjectStore.TIMEOUT).plus(MAX_RETRY_PAUSE);
        assertThat(firstUnresponsive.plus(secondUnresponsive)).isLessThanOrEqualTo(MAX_TIME_TO_IN_FORCE);
    }

    /** Answers the first watch without a change and fails the others at once, without the time that a real timeout takes. */
    private static final class UnresponsiveStore implements ObjectStore {
        private final BlockingQueue<Duration> waits = new LinkedBlockingQueue<>();
        private boolean answered;

        Duration nextWait() throws InterruptedException {
            Duration wait = waits.poll(10, TimeUnit.SECONDS);
            assertThat(wait).as("a watch").isNotNull();
            return wait;
        }

        @Override
        public Optional<StoredObject> watch(String name, long version, Duration wait) {
            waits.add(wait);
            if (!answered) {
                answered = true;
                return Optional.empty();
            }
            throw new StoreException(StoreException.Code.UNAVAILABLE, "no answer from the store: timed out", null);
        }

        @Override
        public Optional<StoredObject> read(String name) {
            return Optional.empty();
        }

        @Override
        public StoredObject create(String name, byte[] value) {
            throw new UnsupportedOperationException();
        }

        @Override
        public StoredObject replace(String name, byte[] value, long version) {
            throw new UnsupportedOperationException();
        }

        @Override
        public MemberList members(long version, Duration wait) {
            throw new UnsupportedOperationException();
        }

        @Override
        public long era() {
            return 0;
        }
    }
}
