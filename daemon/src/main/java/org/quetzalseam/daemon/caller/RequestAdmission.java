package org.quetzalseam.daemon.caller;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongPredicate;
import org.quetzalseam.core.catalogue.Catalogue;
import org.quetzalseam.core.catalogue.CatalogueInForce;
import org.quetzalseam.core.catalogue.EntrySpec;
import org.quetzalseam.core.catalogue.OwnerSpec;
import org.quetzalseam.core.limits.EntryLimiter;
import org.quetzalseam.core.limits.EntryLimiter.Verdict;
import org.quetzalseam.daemon.catalogue.Digests;
import org.quetzalseam.daemon.entry.EntryRouter;
import org.quetzalseam.daemon.http.ServerExchange;
import org.quetzalseam.daemon.operator.Metrics;

/** Authenticates callers and checks their requests against the limits of their catalogue entries. Thread-safe. */
final class RequestAdmission {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String IN_DOUBT = "catalogue-in-doubt";
    /** Retry delay reported by an entry that cannot reach the store: the entry polls the store about once a second. */
    private static final long IN_DOUBT_RETRY_MILLIS = 2_000;

    private static final String BEARER = "Bearer ";
    private static final long MAX_DEADLINE_MILLIS = 86_400_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Another entry accepts the request at once. */
    private static final long STOPPING_RETRY_MILLIS = 1;

    private static final long CONCURRENCY_RETRY_MILLIS = 1_000;

    /** Longest wait of a caller until an entry that has just started has read its catalogue: the time of several store responses. */
    private static final Duration FIRST_CATALOGUE_TIMEOUT = Duration.ofMillis(800);

    private final CatalogueInForce inForce;
    private final EntryLimiter limiter;
    private final EntryRouter router;
    private final Metrics metrics;
    private final LongPredicate endsInTime;

    /**
     * Creates the admission of an entry.
     *
     * @param endsInTime whether a request that lasts so many milliseconds ends before this entry does
     */
    RequestAdmission(
            CatalogueInForce inForce,
            EntryLimiter limiter,
            EntryRouter router,
            Metrics metrics,
            LongPredicate endsInTime) {
        this.endsInTime = endsInTime;
        this.inForce = inForce;
        this.limiter = limiter;
        this.router = router;
        this.metrics = metrics;
    }

    Catalogue catalogue() {
        return inForce.current().catalogue();
    }

    /** Returns the owner whose token the request carries, or throws the error for the caller. */
    OwnerSpec owner(ServerExchange exchange) {
        if (!inForce.awaitFirst(FIRST_CATALOGUE_TIMEOUT)) {
            throw CallerException.retryable(
                    Statuses.UNAVAILABLE, "no-catalogue", "this entry has no catalogue yet", 1_000);
        }
        String header = CallerServer.header(exchange, "Authorization");
        if (header == null || !header.startsWith(BEARER)) {
            throw CallerException.notRetryable(
                    Statuses.UNAUTHORIZED, "no-token", "expected 'Authorization: Bearer TOKEN'");
        }
        String digest = Digests.of(header.substring(BEARER.length()).strip());
        return catalogue()
                .ownerOf(digest)
                .orElseThrow(
                        () -> notInCatalogue(Statuses.UNAUTHORIZED, "unknown-token", "the token belongs to no owner"));
    }

    /**
     * Returns the error for a request that names something absent from the catalogue. When this process may have missed a change since
     * the last response of the store, the error states that the catalogue is in doubt instead of denying that the name exists.
     */
    CallerException notInCatalogue(int status, String code, String message) {
        long now = System.nanoTime();
        if (inForce.isKnownCurrent(now)) {
            return CallerException.notRetryable(status, code, message);
        }
        metrics.refusal(IN_DOUBT);
        logger.atInfo().log(
                "event=%s code=%s catalogue_version=%d word_age_ms=%d",
                IN_DOUBT, code, inForce.version(), inForce.ageMillis(now));
        return CallerException.retryable(
                Statuses.UNAVAILABLE, IN_DOUBT, "this entry can't know whether " + message, IN_DOUBT_RETRY_MILLIS);
    }

    /** Returns the refusal of a request that a stopping entry does not begin. */
    static CallerException stopping(String message) {
        return CallerException.retryable(Statuses.UNAVAILABLE, "stopping", message, STOPPING_RETRY_MILLIS);
    }

    /**
     * Refuses a request that may last longer than this entry does, as it would then be cut without a whole answer.
     *
     * @param millis how long the request may last, in milliseconds
     */
    void checkEndsInTime(ServerExchange exchange, long millis) {
        if (endsInTime.test(millis)) {
            return;
        }
        logger.atInfo().log("event=refused-leaving limit_ms=%d", millis);
        CallerException refusal = stopping("this entry stops before the request must have ended");
        throw idempotencyKey(exchange).isPresent() ? refusal.forKeyedRequest() : refusal;
    }

    /** Returns the time that the caller allows for the request, in milliseconds, or the default. */
    long deadlineMillis(ServerExchange exchange, long fallback) {
        String header = CallerServer.header(exchange, "X-Request-Deadline-Ms");
        if (header == null) {
            return fallback;
        }
        try {
            long millis = Long.parseLong(header.strip());
            if (millis >= 1 && millis <= MAX_DEADLINE_MILLIS) {
                return millis;
            }
        } catch (NumberFormatException expected) {
            // Reported below with the message for a number out of bounds.
        }
        throw CallerException.notRetryable(
                Statuses.BAD_REQUEST,
                "bad-header",
                "X-Request-Deadline-Ms: expected milliseconds from 1 to " + MAX_DEADLINE_MILLIS);
    }

    /** Returns the caller's idempotency key, if the request has one. */
    Optional<String> idempotencyKey(ServerExchange exchange) {
        Optional<String> key = Optional.ofNullable(CallerServer.header(exchange, "Idempotency-Key"));
        int maxLength = 255;
        if (key.isPresent() && (key.get().isBlank() || key.get().length() > maxLength)) {
            throw CallerException.notRetryable(
                    Statuses.BAD_REQUEST, "bad-header", "Idempotency-Key: expected 1 to " + maxLength + " characters");
        }
        return key;
    }

    /** Counts a request towards the limits of its entry, or refuses it. Each admitted request needs one {@link #release}. */
    void admit(EntrySpec entry) {
        long now = System.nanoTime();
        Verdict verdict = limiter.enter(entry, router.entryCount(), now);
        if (verdict == Verdict.ENTERED) {
            return;
        }
        boolean rate = verdict == Verdict.RATE;
        String code = rate ? "rate-limit" : "concurrency-limit";
        metrics.refusal(code);
        long retry = rate
                ? Math.max(1, limiter.retryAfterNanos(entry.name(), now) / NANOS_PER_MILLI)
                : CONCURRENCY_RETRY_MILLIS;
        throw CallerException.retryable(
                Statuses.TOO_MANY_REQUESTS, code, "more requests than entry " + entry.name() + " allows", retry);
    }

    void release(EntrySpec entry) {
        limiter.leave(entry.name());
    }
}
