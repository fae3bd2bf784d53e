package org.quetzalseam.gateway.route;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.limit.EndpointLimits;
import org.quetzalseam.gateway.limit.PermitRequest;

/**
 * Finds the endpoint that one request is sent to. An endpoint that states a limit is chosen only with a permit; while there are others,
 * the request does not wait for one. Used on the event loop only.
 */
final class EndpointSearch {
    /** Number of endpoints that are asked for before a request is refused because all are limited. */
    private static final int MAX_ASKED = 8;
    /** Shortest retry-after time of a request that is refused because all endpoints are limited, in milliseconds. */
    private static final long MIN_RETRY_AFTER_MILLIS = 50;

    private final RunContext context;
    private final Supplier<List<Endpoint>> candidates;
    private final Comparator<Endpoint> order;
    private final LongSupplier maxWaitMillis;
    private final Listener listener;
    private final Set<Endpoint> refusedBy = new HashSet<>();
    private long retryAfterMillis = Long.MAX_VALUE;
    /** The endpoint that is expected to have room first, of those that have refused the request. */
    private @Nullable Endpoint soonestRoom;

    private @Nullable PermitRequest permit;
    private boolean cancelled;

    /** Receives the result. */
    interface Listener {
        /** Called with the endpoint, to which the request must be sent at once. */
        void found(Endpoint endpoint);

        /** Called when there is no endpoint. */
        void none();

        /** Called when all endpoints are limited and none has room in time. */
        void limited(long retryAfterMillis, String inputs);
    }

    /**
     * Creates a search that does nothing until {@link #start}.
     *
     * @param candidates returns the endpoints that can take the request now
     * @param order the better endpoint comes first
     * @param maxWaitMillis returns how long the request can wait for a limited endpoint
     * @param listener receives the result, at once or later
     */
    EndpointSearch(
            RunContext context,
            Supplier<List<Endpoint>> candidates,
            Comparator<Endpoint> order,
            LongSupplier maxWaitMillis,
            Listener listener) {
        this.context = context;
        this.candidates = candidates;
        this.order = order;
        this.maxWaitMillis = maxWaitMillis;
        this.listener = listener;
    }

    void start() {
        // Shuffled, because the first of equal endpoints is chosen.
        List<Endpoint> usable = new ArrayList<>(candidates.get());
        Collections.shuffle(usable);
        if (usable.isEmpty()) {
            listener.none();
        } else if (usable.stream().allMatch(endpoint -> endpoint.limits().limited())) {
            waitForLimited(usable);
        } else {
            chooseNow(usable);
        }
    }

    private void chooseNow(List<Endpoint> usable) {
        long now = context.now();
        Optional<Endpoint> chosen = usable.stream()
                .filter(endpoint -> !endpoint.limits().limited()
                        || (!refusedBy.contains(endpoint)
                                && endpoint.limits().backoff().mayAsk(now)))
                .min(order);
        Endpoint endpoint = chosen.orElseThrow();
        if (endpoint.limits().limited()) {
            ask(endpoint, 0);
        } else {
            listener.found(endpoint);
        }
    }

    private void waitForLimited(List<Endpoint> usable) {
        long now = context.now();
        Optional<Endpoint> soonest = usable.stream()
                .filter(endpoint -> !refusedBy.contains(endpoint))
                .min(Comparator.<Endpoint>comparingLong(
                                endpoint -> endpoint.limits().backoff().waitNanos(now))
                        .thenComparing(order));
        if (soonest.isEmpty() || refusedBy.size() >= MAX_ASKED) {
            askReturn();
            return;
        }
        ask(soonest.get(), Math.max(0, maxWaitMillis.getAsLong()));
    }

    private void ask(Endpoint endpoint, long waitMillis) {
        permit = context.endpointLimits().ask(endpoint, 1, waitMillis, new EndpointLimits.Listener() {
            @Override
            public void granted() {
                if (cancelled) {
                    return;
                }
                if (context.directory().usable(endpoint)) {
                    listener.found(endpoint);
                } else {
                    start();
                }
            }

            @Override
            public void refused(long refusedMillis) {
                if (cancelled) {
                    return;
                }
                refusedBy.add(endpoint);
                if (refusedMillis < retryAfterMillis) {
                    retryAfterMillis = refusedMillis;
                    soonestRoom = endpoint;
                }
                start();
            }
        });
    }

    /** Asks when the caller should return, at the endpoint that is expected to have room first. */
    private void askReturn() {
        Endpoint endpoint = soonestRoom;
        if (endpoint == null) {
            listener.none();
            return;
        }
        long waitMillis = Math.max(0, maxWaitMillis.getAsLong());
        permit = context.endpointLimits().askReturn(endpoint, waitMillis, new EndpointLimits.Listener() {
            @Override
            public void granted() {
                // The limit has been lifted meanwhile.
                start();
            }

            @Override
            public void refused(long returnMillis) {
                listener.limited(
                        Math.max(MIN_RETRY_AFTER_MILLIS, returnMillis),
                        context.endpointLimits().describe(endpoint));
            }
        });
    }

    /** Ends the search; its listener is not called any more. */
    void cancel() {
        cancelled = true;
        PermitRequest pending = permit;
        if (pending != null) {
            pending.cancel();
        }
    }
}
