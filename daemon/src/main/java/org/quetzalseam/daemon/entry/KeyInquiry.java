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
 * Finds out whether any endpoint other than its holder has seen a key, and bars the key from all that have not. Used by
 * one thread.
 *
 * <p>Endpoints that have left are not asked: those that left as planned have said which keys they had seen; of those that
 * crashed nothing is known.
 */
final class KeyInquiry {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How long a link without a connection is waited for at least: tens of handshakes in one region. */
    private static final Duration CONNECTION_WAIT = Duration.ofMillis(500);

    /** How often connections that a question is on are looked at. */
    private static final Duration DISCONNECT_POLL_INTERVAL = Duration.ofMillis(10);

    private static final int MAX_SEND_ATTEMPTS = 3;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** What is known of the key. */
    enum Answer {
        /** Nobody has seen it, and nobody else will take it. */
        NEVER_SEEN,
        /** Another endpoint has seen it. */
        SEEN,
        /** Somebody who may have seen it can't be asked. */
        UNKNOWN
    }

    /** Why an inquiry can't tell. */
    private enum UnknownReason {
        /** The newest list of VMs could not be read. */
        LIST_UNREADABLE,
        /** The pool is larger than what the entry is linked to. */
        POOL_NOT_LINKED,
        /** An endpoint that can't be asked left no word that it had not seen the key. */
        ABSENT_WITHOUT_WORD,
        /** An endpoint left word and is silent now: another process may be up at its address. */
        LEFT_AND_MAYBE_BACK,
        /** An endpoint that was asked was lost before it answered, twice. */
        ASKED_AND_LOST,
        /** An endpoint that was asked did not answer in time. */
        NO_ANSWER_IN_TIME
    }

    /**
     * The result of an inquiry. Immutable.
     *
     * @param answer what is known of the key
     * @param seenAt the endpoint that has seen it and can be reached
     */
    record Finding(Answer answer, Optional<EndpointLink> seenAt) {}

    private final EntryContext context;
    private final String pool;
    private final EndpointLink holder;
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
    private final long startedAt;

    KeyInquiry(
            EntryContext context,
            String pool,
            EndpointLink holder,
            String key,
            long mintedAtMillis,
            AttemptId id,
            long retentionNanos) {
        this.context = context;
        this.pool = pool;
        this.holder = holder;
        this.key = key;
        this.mintedAtMillis = mintedAtMillis;
        this.id = id;
        this.retentionNanos = retentionNanos;
        this.startedAt = context.timers().now();
    }

    /** Asks everybody on the newest list of VMs, which is read for this purpose. */
    Finding inquire() {
        if (!context.members().refresh()) {
            return unknown(UnknownReason.LIST_UNREADABLE);
        }
        if (!context.fleet().isLinkedToWholePool(pool)) {
            return unknown(UnknownReason.POOL_NOT_LINKED);
        }
        absent.addAll(removedEndpoints());
        askAll();
        // Who was dropped before it could be met is not among those asked.
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

    /** Asks also who is listed anew meanwhile, as an endpoint is that comes back at another address. */
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
        for (int tries = 1; reach == Reachability.CONNECTED; tries++) {
            if (link.begin(new FenceKey(id, key, mintedAtMillis), inbox, 0)) {
                asked.add(link);
                return;
            }
            // The connection closed in between; what is there now is to be seen again.
            reach = tries < MAX_SEND_ATTEMPTS ? awaitReachability(link) : Reachability.UNKNOWN;
        }
        asked.remove(link);
        unanswered.remove(link);
        absent.add(link);
        if (reach == Reachability.UNKNOWN) {
            maybeRestarted.add(link);
        }
    }

    /**
     * Waits for a link that has just been made. One that leaves counts by its word only where its process is down: the next one
     * at its address may have seen the key since, and the link dials it late. Whether it is down, or up, may take as long to show as a
     * process that isn't heard counts as there; one without a word leaves the key in doubt either way, and is not waited for so long.
     */
    private Reachability awaitReachability(EndpointLink link) {
        boolean connected = link.awaitConnected(CONNECTION_WAIT, () -> link.keysAtShutdown() == null);
        if (connected) {
            return Reachability.CONNECTED;
        }
        return link.checkReachability(link.keysAtShutdown() == null ? CONNECTION_WAIT : remainingLease());
    }

    /** Returns what is left of one lease, which all links share, but time to connect in any case. */
    private Duration remainingLease() {
        Duration rest = lease().minusNanos(context.timers().now() - startedAt);
        return rest.compareTo(CONNECTION_WAIT) > 0 ? rest : CONNECTION_WAIT;
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
                (context.timers().now() - startedAt) / NANOS_PER_MILLI);
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
     * Puts the question again where its connection has closed. It would be reported lost after a lease, as other orders are that may have been
     * carried out; to bar a key twice is the same as once, and an endpoint that stops as planned leaves the question unanswered.
     */
    private void askAgainWhereDisconnected() {
        List<EndpointLink> closed =
                unanswered.stream().filter(link -> !link.connected()).toList();
        for (EndpointLink link : closed) {
            if (askedAgain.add(link)) {
                link.forget(id);
                ask(link);
                askAll();
            }
        }
    }

    /** Waits for the answers, for a lease: one that is connected and silent for longer counts as gone elsewhere too. */
    private Finding awaitAnswers() {
        long until = context.timers().now() + lease().toNanos();
        while (!unanswered.isEmpty()) {
            long left = (until - context.timers().now()) / NANOS_PER_MILLI;
            AttemptEvent event = inbox.poll(Math.max(0, Math.min(left, DISCONNECT_POLL_INTERVAL.toMillis())));
            if (event == null && left <= 0) {
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
