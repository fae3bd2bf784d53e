package org.quetzalseam.daemon.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.daemon.entry.EndpointLink.Reachability;
import org.quetzalseam.wire.message.FenceKey;
import org.quetzalseam.wire.message.KeyFenced;

/**
 * Determines whether any endpoint other than its holder has seen an idempotency key, and fences the key at all that
 * have not. Used by one thread.
 *
 * <p>Endpoints that were removed are not asked: those that shut down as planned have reported which keys they had
 * seen; of those that crashed nothing is known.
 */
final class KeyInquiry {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Minimum wait for a link that has no connection: the time of tens of handshakes within one region. */
    private static final Duration CONNECTION_WAIT = Duration.ofMillis(500);

    /** Interval at which connections with an unanswered question are checked. */
    private static final Duration DISCONNECT_POLL_INTERVAL = Duration.ofMillis(10);

    private static final int MAX_SEND_ATTEMPTS = 3;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** What the inquiry found out about the key. */
    enum Answer {
        /** No other endpoint has seen it, and none will accept it any more. */
        NEVER_SEEN,
        /** Another endpoint has seen it. */
        SEEN,
        /** An endpoint that may have seen it cannot be asked. */
        UNKNOWN
    }

    /** Why the answer of an inquiry is unknown. The names of the constants are written to the log. */
    private enum UnknownReason {
        /** The newest list of VMs could not be read. */
        LIST_UNREADABLE,
        /** The entry is linked to a part of the pool only. */
        POOL_NOT_LINKED,
        /** An endpoint that cannot be asked has not reported, at shutdown, that it had not seen the key. */
        ABSENT_WITHOUT_WORD,
        /** An endpoint reported its keys at shutdown and is unresponsive: a new process may be up at its address. */
        LEFT_AND_MAYBE_BACK,
        /** An endpoint was lost twice before it answered. */
        ASKED_AND_LOST,
        /** An endpoint did not answer in time. */
        NO_ANSWER_IN_TIME
    }

    /**
     * The result of an inquiry. Immutable.
     *
     * @param answer what is known about the key
     * @param seenAt the endpoint that has seen the key and can be reached
     */
    record Finding(Answer answer, Optional<EndpointLink> seenAt) {}

    private final EntryContext context;
    private final String pool;
    private final EndpointLink holder;
    private final long holderIncarnation;
    private final String key;
    private final long mintedAtMillis;
    private final AttemptId id;
    private final long retentionNanos;
    private final Set<EndpointLink> considered = new HashSet<>();
    private final Set<EndpointLink> asked = new LinkedHashSet<>();
    private final Set<EndpointLink> askedAgain = new HashSet<>();
    private final Set<EndpointLink> unanswered = new LinkedHashSet<>();
    private final List<EndpointLink> absent = new ArrayList<>();
    private final Set<EndpointLink> maybeRestarted = new HashSet<>();
    private final Inbox inbox = new Inbox();
    private final long startedNanos;

    KeyInquiry(
            EntryContext context,
            String pool,
            EndpointLink holder,
            long holderIncarnation,
            String key,
            long mintedAtMillis,
            AttemptId id,
            long retentionNanos) {
        this.context = context;
        this.pool = pool;
        this.holder = holder;
        this.holderIncarnation = holderIncarnation;
        this.key = key;
        this.mintedAtMillis = mintedAtMillis;
        this.id = id;
        this.retentionNanos = retentionNanos;
        this.startedNanos = context.timers().now();
    }

    /** Asks every endpoint of the pool on the newest list of VMs, which is read for this purpose. */
    Finding inquire() {
        if (!context.members().refresh()) {
            return unknown(UnknownReason.LIST_UNREADABLE);
        }
        if (!context.fleet().isLinkedToWholePool(pool)) {
            return unknown(UnknownReason.POOL_NOT_LINKED);
        }
        absent.addAll(removedEndpoints());
        askAll();
        // An endpoint removed before its link was considered is not among those asked.
        removedEndpoints().stream()
                .filter(link -> !considered.contains(link) && !absent.contains(link))
                .forEach(absent::add);
        Finding finding = awaitAnswers();
        asked.forEach(link -> link.forget(id));
        if (finding.answer() == Answer.NEVER_SEEN
                && !absent.stream().allMatch(link -> reportsUnseen(link.keysAtShutdown()))) {
            return unknown(UnknownReason.ABSENT_WITHOUT_WORD);
        }
        if (finding.answer() == Answer.NEVER_SEEN && !maybeRestarted.isEmpty()) {
            return unknown(UnknownReason.LEFT_AND_MAYBE_BACK);
        }
        return finding;
    }

    private List<EndpointLink> removedEndpoints() {
        return context.fleet()
                .history(pool)
                .removedWithin(retentionNanos, context.timers().now());
    }

    /** Asks all endpoints but the holder, also those listed meanwhile, such as one restarted at another address. */
    private void askAll() {
        boolean asking = true;
        while (asking) {
            asking = false;
            for (EndpointLink link : context.fleet().linksToPool(pool)) {
                if (!link.name().equals(holder.name()) && considered.add(link)) {
                    asking = true;
                    unanswered.add(link);
                    ask(link);
                }
            }
        }
    }

    private void ask(EndpointLink link) {
        Reachability reach = awaitReachability(link);
        for (int sends = 1; reach == Reachability.CONNECTED; sends++) {
            if (link.begin(new FenceKey(id, key, mintedAtMillis, holderIncarnation), inbox, 0)) {
                asked.add(link);
                return;
            }
            // The connection closed in between, so the endpoint's reachability is checked again.
            reach = sends < MAX_SEND_ATTEMPTS ? awaitReachability(link) : Reachability.UNKNOWN;
        }
        asked.remove(link);
        unanswered.remove(link);
        absent.add(link);
        if (reach == Reachability.UNKNOWN) {
            maybeRestarted.add(link);
        }
    }

    /**
     * Waits for a connection of a link that may have just been created. The keys that an endpoint reported at shutdown
     * are relied on only if its process is down, because the next process at its address may have seen the key since,
     * and the link dials late. Whether the process is down or up may take a lease to show, the time for which an
     * unresponsive process still counts as present. An endpoint that has not reported its keys leaves the answer
     * unknown in either case, so it is not waited for that long.
     */
    private Reachability awaitReachability(EndpointLink link) {
        boolean connected = link.awaitConnected(CONNECTION_WAIT, () -> link.keysAtShutdown() == null);
        if (connected) {
            return Reachability.CONNECTED;
        }
        return link.checkReachability(link.keysAtShutdown() == null ? CONNECTION_WAIT : remainingLease());
    }

    /** Returns the rest of one lease, which all links share, but at least {@link #CONNECTION_WAIT}. */
    private Duration remainingLease() {
        Duration remaining = lease().minusNanos(context.timers().now() - startedNanos);
        return remaining.compareTo(CONNECTION_WAIT) > 0 ? remaining : CONNECTION_WAIT;
    }

    private Duration lease() {
        return context.settings().timing().lease();
    }

    private Finding unknown(UnknownReason doubt) {
        logger.atInfo().log(
                "event=key-inquiry-in-doubt request=%s holder=%s reason=%s asked=%s unanswered=%s absent=%s age_ms=%d",
                id.requestId(),
                holder.name(),
                label(doubt),
                names(asked),
                names(unanswered),
                names(absent),
                (context.timers().now() - startedNanos) / NANOS_PER_MILLI);
        return new Finding(Answer.UNKNOWN, Optional.empty());
    }

    private static String label(UnknownReason doubt) {
        return doubt.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String names(Collection<EndpointLink> links) {
        return links.stream().map(EndpointLink::name).collect(Collectors.joining(","));
    }

    private boolean reportsUnseen(@Nullable Set<String> seen) {
        return seen != null && !seen.contains(key);
    }

    /**
     * Asks again where the connection has closed. Otherwise the question would be reported lost only after a lease,
     * like other orders that may have been carried out. Asking twice is safe, because fencing a key is idempotent, and
     * it is needed, because an endpoint that shuts down as planned leaves the question unanswered.
     */
    private void askAgainWhereDisconnected() {
        List<EndpointLink> disconnected =
                unanswered.stream().filter(link -> !link.connected()).toList();
        for (EndpointLink link : disconnected) {
            if (askedAgain.add(link)) {
                link.forget(id);
                ask(link);
                askAll();
            }
        }
    }

    /**
     * Waits for the answers, for one lease: other code also treats an endpoint as lost if it is unresponsive for
     * longer.
     */
    private Finding awaitAnswers() {
        long deadlineNanos = context.timers().now() + lease().toNanos();
        while (!unanswered.isEmpty()) {
            long leftMillis = (deadlineNanos - context.timers().now()) / NANOS_PER_MILLI;
            AttemptEvent event = inbox.poll(Math.max(0, Math.min(leftMillis, DISCONNECT_POLL_INTERVAL.toMillis())));
            if (event == null && leftMillis <= 0) {
                return unknown(UnknownReason.NO_ANSWER_IN_TIME);
            }
            if (event == null) {
                askAgainWhereDisconnected();
                continue;
            }
            if (event.reply() instanceof KeyFenced fenced) {
                if (!fenced.neverSeen()) {
                    return new Finding(Answer.SEEN, Optional.of(event.link()));
                }
                unanswered.remove(event.link());
            } else if (askedAgain.add(event.link())) {
                // The question was lost with its connection.
                ask(event.link());
                askAll();
            } else {
                return unknown(UnknownReason.ASKED_AND_LOST);
            }
        }
        return new Finding(Answer.NEVER_SEEN, Optional.empty());
    }
}
