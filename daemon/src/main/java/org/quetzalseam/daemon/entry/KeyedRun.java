package org.quetzalseam.daemon.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.core.attempt.Outcome;
import org.quetzalseam.core.keyed.KeyTimestamp;
import org.quetzalseam.core.placement.Rendezvous;
import org.quetzalseam.daemon.catalogue.Digests;
import org.quetzalseam.daemon.entry.EndpointLink.Reachability;
import org.quetzalseam.daemon.entry.KeyInquiry.Finding;
import org.quetzalseam.daemon.entry.TraceLog.Trace;
import org.quetzalseam.wire.message.Answer;
import org.quetzalseam.wire.message.AttemptReply;
import org.quetzalseam.wire.message.Failed;
import org.quetzalseam.wire.message.KeyUse;
import org.quetzalseam.wire.message.RefusalReason;
import org.quetzalseam.wire.message.Refused;

/**
 * Runs a non-idempotent call that has an idempotency key. The endpoint that rendezvous hashing assigns to the key both
 * records the key and runs the call. When that endpoint cannot be asked, no other runs the call: the result is that the
 * outcome is unknown and that the same key may safely be sent again. Used by one thread.
 */
final class KeyedRun {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /**
     * Maximum wait of a call for a connection to the holder of its key: the time of tens of handshakes within one
     * region.
     */
    private static final Duration CONNECTION_WAIT = Duration.ofSeconds(1);

    private static final int MAX_ATTEMPTS = 6;
    private static final int KEY_DIGITS = 32;
    private static final long RETRY_MILLIS = 1_000;

    private final EntryContext context;
    private final ServiceRequest request;
    private final ServiceAttempt attempts;
    private final Trace trace;
    private final String key;
    private final String fingerprint;
    private final long mintedAtMillis;
    private final Set<String> excluded = new HashSet<>();
    /** The incarnations on whose behalf the key was fenced elsewhere, with the links to them. */
    private final Map<Long, EndpointLink> fencedHolders = new HashMap<>();

    private final Set<Long> released = new HashSet<>();
    private AttemptId id;

    KeyedRun(EntryContext context, ServiceRequest request, ServiceAttempt attempts, Trace trace, String rawKey) {
        this.context = context;
        this.request = request;
        this.attempts = attempts;
        this.trace = trace;
        this.id = request.requestId().firstAttempt();
        this.mintedAtMillis = KeyTimestamp.mintedAtMillis(rawKey).orElse(0);
        String scope = request.entry().owner() + '\n' + request.service().name() + '\n';
        this.key = Digests.of(scope + rawKey).substring(0, KEY_DIGITS);
        this.fingerprint = Digests.of(request.method() + '\n' + request.path() + '\n' + Digests.of(request.body()))
                .substring(0, KEY_DIGITS);
    }

    ServiceResult run() {
        long fencedFor = 0;
        Optional<EndpointLink> holder = holder();
        while (true) {
            if (holder.isEmpty()) {
                return unknown("no-endpoint", "no endpoint of the service takes work");
            }
            EndpointLink link = holder.get();
            if (!isReachable(link)) {
                Optional<EndpointLink> newHolder = holder();
                if (newHolder.equals(holder)) {
                    return unreachable(link);
                }
                // The holder was removed, or listed again, before anything was sent to it.
                fencedFor = 0;
                holder = newHolder;
                continue;
            }
            long incarnation = link.incarnation();
            AttemptReply reply = call(link, fencedFor);
            if (reply instanceof Answer answer) {
                return new ServiceResult(RunResult.answered("", 1), Optional.of(answer));
            }
            if (!(reply instanceof Refused refused)) {
                String code = reply instanceof Failed failed ? failed.code().label() : "endpoint-lost";
                return unknown(code, "the call may have run; its answer was lost");
            }
            if (id.number() >= MAX_ATTEMPTS) {
                return refused(refused.reason(), refused.retryAfterMillis());
            }
            id = id.next();
            RefusalReason reason = refused.reason();
            if (reason == RefusalReason.LEAVING && link.incarnation() == incarnation) {
                released.add(incarnation);
            }
            if (reason == RefusalReason.KEY_FORGOTTEN) {
                return unknown(reason.label(), "the process that may have seen the key is gone");
            }
            if (reason == RefusalReason.KEY_UNSURE) {
                fencedHolders.put(incarnation, link);
                Finding finding = inquiry(link, incarnation).inquire();
                trace.note("inquiry: " + finding.answer());
                if (finding.answer() == KeyInquiry.Answer.UNKNOWN) {
                    return unknown("key-holder-unreachable", "an endpoint that may have seen the key can't be asked");
                }
                fencedFor = finding.answer() == KeyInquiry.Answer.NEVER_SEEN ? incarnation : 0;
                holder = finding.seenAt().or(() -> Optional.of(link));
            } else if (reason == RefusalReason.LEAVING || reason == RefusalReason.SEALED) {
                excluded.add(link.name());
                fencedFor = 0;
                holder = holder();
            } else if (reason == RefusalReason.OLD_MEMBERS && context.members().refresh()) {
                // Refused before the key was looked up; the newer list may assign it to another holder.
                fencedFor = 0;
                holder = holder();
            } else {
                return refused(reason, refused.retryAfterMillis());
            }
        }
    }

    /** Makes an attempt at the key's holder. A call that has crashed back ends may run there only if it is to be probed there. */
    private AttemptReply call(EndpointLink link, long fencedFor) {
        boolean suspect = context.quarantine().isSuspect(request::fingerprint);
        if (suspect && !isProbeEndpoint(link)) {
            return new Refused(id, RefusalReason.QUARANTINED, RETRY_MILLIS, link.load());
        }
        AttemptReply reply = attempts.call(
                link, id, keyUse(fencedFor), request.entry().limits().queueWaitMillis(), suspect);
        trace.note("attempt " + id.number() + " at key holder " + link.name() + ": "
                + reply.getClass().getSimpleName());
        if (reply instanceof Answer) {
            context.quarantine().recordEnded(request::fingerprint);
        }
        return reply;
    }

    private boolean isProbeEndpoint(EndpointLink link) {
        return context.fleet()
                .probeEndpoint(request.service().pool(), request.fingerprint())
                .filter(link::equals)
                .isPresent();
    }

    /** Returns the result of a call that has crashed back ends; an earlier request with its key may have run. */
    private ServiceResult quarantined(long retryAfterMillis) {
        RunResult result = context.quarantine()
                .refusal(
                        request.requestId().toString(),
                        request.fingerprint(),
                        Outcome.UNKNOWN,
                        true,
                        Math.max(retryAfterMillis, RETRY_MILLIS));
        return new ServiceResult(result, Optional.empty());
    }

    private ServiceResult unreachable(EndpointLink holder) {
        logger.atInfo().log(
                "event=key-holder-not-connected request=%s holder=%s reached_before=%s",
                id.requestId(), holder.name(), !holder.neverConnected());
        return unknown("key-holder-unreachable", "the endpoint that would know the key can't be reached");
    }

    /**
     * Returns whether a holder can be reached. Waits for the first connection to a holder that has restarted as
     * planned, because it is listed before it is connected. A holder whose connection was lost is dialled at once, and
     * counts as unreachable as soon as it is known to be down. Nothing is sent meanwhile, so the wait has no effect on
     * the call's outcome.
     */
    private static boolean isReachable(EndpointLink link) {
        return link.awaitConnected(CONNECTION_WAIT, link::neverConnected)
                || link.checkReachability(CONNECTION_WAIT) == Reachability.CONNECTED;
    }

    private KeyInquiry inquiry(EndpointLink holder, long incarnation) {
        long retention = context.settings().timing().keyRetention().toNanos();
        return new KeyInquiry(
                context, request.service().pool(), holder, incarnation, key, mintedAtMillis, id, retention);
    }

    /** Returns the holder of the key among the endpoints that are not draining or excluded. */
    private Optional<EndpointLink> holder() {
        List<EndpointLink> members = context
                .fleet()
                .linksToPool(request.service().pool())
                .stream()
                .filter(link -> !link.isDraining() && !excluded.contains(link.name()))
                .toList();
        if (members.isEmpty()) {
            return Optional.empty();
        }
        List<String> names = members.stream().map(EndpointLink::name).toList();
        return Optional.of(members.get(Rendezvous.top(names, Rendezvous.hash(key))));
    }

    /**
     * Returns the incarnations that never ran the key and never will: an endpoint refuses each key that it does not know
     * while it leaves. Those that this run has not fenced the key for are left out.
     */
    private List<Long> releasedHolders() {
        return fencedHolders.entrySet().stream()
                .filter(holder ->
                        released.contains(holder.getKey()) || hasLeftUnseen(holder.getValue(), holder.getKey()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns whether an incarnation reported at its planned shutdown that it had not seen the key. */
    private boolean hasLeftUnseen(EndpointLink link, long incarnation) {
        // The keys are read first: a newer process clears them before the link states its incarnation.
        Set<String> keys = link.keysAtShutdown();
        return keys != null && !keys.contains(key) && link.incarnation() == incarnation;
    }

    private KeyUse keyUse(long fencedFor) {
        long now = context.timers().now();
        // That an endpoint is draining may be known to this entry only from the refusal just received.
        long unchangedMillis = excluded.isEmpty()
                ? context.fleet().history(request.service().pool()).unchangedMillis(now)
                : 0;
        return new KeyUse(
                key,
                fingerprint,
                mintedAtMillis,
                unchangedMillis,
                context.site().membersVersion(),
                fencedFor,
                releasedHolders());
    }

    private static ServiceResult unknown(String code, String message) {
        RunResult result = new RunResult(Outcome.UNKNOWN, code, message, true, RETRY_MILLIS, "", 0);
        return new ServiceResult(result, Optional.empty());
    }

    /**
     * Returns the result for a refusal. Only a holder that had claimed the key before it refused proves that no earlier
     * request with the key has run either.
     */
    private ServiceResult refused(RefusalReason reason, long retryAfterMillis) {
        if (reason == RefusalReason.QUARANTINED) {
            return quarantined(retryAfterMillis);
        }
        if (reason == RefusalReason.KEY_MISMATCH) {
            String message = "the idempotency key was used before with another request";
            return new ServiceResult(
                    RunResult.ended(Outcome.NOT_RUN, reason.label(), message, false, 0), Optional.empty());
        }
        boolean provedNotRun = reason == RefusalReason.QUEUE_FULL
                || reason == RefusalReason.WAIT_TOO_LONG
                || reason == RefusalReason.BACKEND_DOWN;
        if (!provedNotRun) {
            return unknown(reason.label(), "no endpoint could tell whether the key has been used");
        }
        long retryMillis = Math.max(retryAfterMillis, RETRY_MILLIS);
        return ServiceRun.notRun(reason.label(), "the call was refused before it ran", retryMillis);
    }
}
