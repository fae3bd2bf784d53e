package org.quetzalseam.gateway.endpoint;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import org.quetzalseam.core.limits.EndpointLimit;
import org.quetzalseam.core.limits.KnownLimit;
import org.quetzalseam.core.limits.PermitBackoff;
import org.quetzalseam.core.limits.StatedLimit;
import org.quetzalseam.gateway.protocol.ReplyFacts;

/**
 * The limit that an endpoint states in its answers, as this entry knows it, and how its questions about it were answered. Used on the
 * event loop only.
 */
public final class LimitRecord {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final String endpoint;
    private final EndpointLimit limit = new EndpointLimit();
    private final PermitBackoff backoff = new PermitBackoff();
    private final Runnable onLifted;
    private boolean unreadableLogged;

    /** Creates a record without a limit; {@code onLifted} runs when an answer shows that the endpoint states none any more. */
    LimitRecord(String endpoint, Runnable onLifted) {
        this.endpoint = endpoint;
        this.onLifted = onLifted;
    }

    /** Records what an answer states; one that another endpoint gave counts for nothing. */
    void record(ReplyFacts facts, long now) {
        if (facts.misdirected()) {
            return;
        }
        long before = limit.knownAt();
        if (facts.limit().kind() == StatedLimit.Kind.UNREADABLE && !unreadableLogged) {
            unreadableLogged = true;
            logger.atInfo().log("event=endpoint-limit-unreadable endpoint=%s limited=%s", endpoint, limit.limited());
        }
        if (limit.record(facts.limit(), facts.signed() && !facts.notRun(), now)) {
            logChange("answer", now - before);
            if (!limit.limited()) {
                onLifted.run();
            }
        }
    }

    /** Records what another entry knows. */
    public void recordHeard(KnownLimit known, long now) {
        long before = limit.knownAt();
        if (limit.recordHeard(known.limited(), known.perSecond(), now - known.ageNanos())) {
            logChange("entry", now - before);
        }
    }

    private void logChange(String source, long beforeNanos) {
        logger.atInfo().log(
                "event=endpoint-limit endpoint=%s limited=%s per_s=%.3f source=%s before_ms=%d",
                endpoint, limit.limited(), limit.perSecond(), source, TimeUnit.NANOSECONDS.toMillis(beforeNanos));
    }

    /** Returns what this entry knows of the limit, to tell another one. */
    public KnownLimit known(long now) {
        return new KnownLimit(limit.limited(), limit.perSecond(), Math.max(0, now - limit.knownAt()));
    }

    /** Returns what this entry knows of the limit. */
    public EndpointLimit limit() {
        return limit;
    }

    /** Returns whether the endpoint states a limit. */
    public boolean limited() {
        return limit.limited();
    }

    /** Returns how this entry's questions were answered. */
    public PermitBackoff backoff() {
        return backoff;
    }
}
