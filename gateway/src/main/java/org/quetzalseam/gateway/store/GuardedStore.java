package org.quetzalseam.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.gateway.runtime.ThrownErrors;
import org.quetzalseam.gateway.runtime.Timers;

/**
 * A store whose callers get an outcome of every call, whatever goes wrong: a call that cannot be begun, an answer that cannot be handled
 * and a call that is never answered fail with {@link StoreFailure.Kind#UNKNOWN}, and a failure that cannot be handled is delivered again
 * until it is. So none of those who repeat a call after its outcome ever ceases to. Used on the event loop only.
 */
public final class GuardedStore implements ObjectStore {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How long after its wait a call has certainly failed, in milliseconds: longer than a store may take to connect and answer. */
    static final long OVERDUE_MILLIS = 4_000;
    /** Interval of the checks for calls without an outcome, in milliseconds. */
    static final long CHECK_MILLIS = 1_000;

    private final Timers timers;
    private final ObjectStore store;
    private final Set<Outcome<?>> unfinished = new LinkedHashSet<>();

    /** Creates a store that passes calls on to another one. */
    public GuardedStore(Timers timers, ObjectStore store) {
        this.timers = timers;
        this.store = store;
    }

    /** Begins to look for calls without an outcome. */
    public void start() {
        timers.every(CHECK_MILLIS, this::checkUnfinished);
    }

    private void checkUnfinished() {
        long now = timers.now();
        for (Outcome<?> outcome : List.copyOf(unfinished)) {
            outcome.check(now);
        }
    }

    /** Passes a call on. */
    private interface Call<T> {
        void begin(Consumer<T> done, Consumer<StoreFailure> failed);
    }

    private <T> void call(
            String kind, long waitMillis, Consumer<T> done, Consumer<StoreFailure> failed, Call<T> passedOn) {
        long overdueAt = timers.now() + TimeUnit.MILLISECONDS.toNanos(waitMillis + OVERDUE_MILLIS);
        Outcome<T> outcome = new Outcome<>(kind, overdueAt, done, failed);
        unfinished.add(outcome);
        try {
            passedOn.begin(outcome::succeed, outcome::fail);
        } catch (Throwable e) {
            ThrownErrors.record("store-call", e);
            StoreFailure failure = new StoreFailure(StoreFailure.Kind.UNKNOWN, "the call could not be begun: " + e);
            timers.soon(() -> outcome.fail(failure));
        }
    }

    /** Delivers the outcome of one call. */
    private final class Outcome<T> {
        private final String kind;
        private final long overdueAt;
        private final Consumer<T> done;
        private final Consumer<StoreFailure> failed;
        private boolean delivered;
        private @Nullable StoreFailure undelivered;

        Outcome(String kind, long overdueAt, Consumer<T> done, Consumer<StoreFailure> failed) {
            this.kind = kind;
            this.overdueAt = overdueAt;
            this.done = done;
            this.failed = failed;
        }

        void succeed(T result) {
            if (delivered) {
                return;
            }
            delivered = true;
            try {
                done.accept(result);
                unfinished.remove(this);
            } catch (Throwable e) {
                ThrownErrors.record("store-answer", e);
                deliver(new StoreFailure(StoreFailure.Kind.UNKNOWN, "the answer could not be handled: " + e));
            }
        }

        void fail(StoreFailure failure) {
            if (!delivered) {
                delivered = true;
                deliver(failure);
            }
        }

        private void deliver(StoreFailure failure) {
            undelivered = failure;
            try {
                failed.accept(failure);
                unfinished.remove(this);
            } catch (Throwable e) {
                ThrownErrors.record("store-failure", e);
            }
        }

        void check(long now) {
            StoreFailure failure = undelivered;
            if (failure != null) {
                deliver(failure);
            } else if (!delivered && now - overdueAt >= 0) {
                logger.atWarning().log("event=store-call-overdue kind=%s", kind);
                fail(new StoreFailure(StoreFailure.Kind.UNKNOWN, "no outcome in time"));
            }
        }
    }

    @Override
    public void list(String kind, @Nullable String after, Consumer<ObjectPage> done, Consumer<StoreFailure> failed) {
        call(kind, 0, done, failed, (answered, broken) -> store.list(kind, after, answered, broken));
    }

    @Override
    public void listRecent(
            String kind, @Nullable String after, Consumer<ObjectPage> done, Consumer<StoreFailure> failed) {
        call(kind, 0, done, failed, (answered, broken) -> store.listRecent(kind, after, answered, broken));
    }

    @Override
    public void watch(
            String kind,
            StorePosition from,
            long waitMillis,
            Consumer<ObjectChanges> done,
            Consumer<StoreFailure> failed) {
        call(
                kind,
                waitMillis,
                done,
                failed,
                (answered, broken) -> store.watch(kind, from, waitMillis, answered, broken));
    }

    @Override
    public void read(String kind, String name, Consumer<StoredObject> done, Consumer<StoreFailure> failed) {
        call(kind, 0, done, failed, (answered, broken) -> store.read(kind, name, answered, broken));
    }

    @Override
    public void readRecent(String kind, String name, Consumer<StoredObject> done, Consumer<StoreFailure> failed) {
        call(kind, 0, done, failed, (answered, broken) -> store.readRecent(kind, name, answered, broken));
    }

    @Override
    public void create(
            String kind, String name, JsonNode spec, Consumer<StoredObject> done, Consumer<StoreFailure> failed) {
        call(kind, 0, done, failed, (answered, broken) -> store.create(kind, name, spec, answered, broken));
    }

    @Override
    public void replace(
            String kind,
            String name,
            StorePosition expected,
            JsonNode spec,
            Consumer<StoredObject> done,
            Consumer<StoreFailure> failed) {
        call(kind, 0, done, failed, (answered, broken) -> store.replace(kind, name, expected, spec, answered, broken));
    }

    @Override
    public void retireConnections() {
        store.retireConnections();
    }

    @Override
    public StorePosition position() {
        return store.position();
    }
}
