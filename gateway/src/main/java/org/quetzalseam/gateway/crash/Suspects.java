package org.quetzalseam.gateway.crash;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.quetzalseam.core.crash.CrashLedger;
import org.quetzalseam.core.crash.PartLedger;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.runtime.Timers;

/**
 * The requests and the parts of prompts that are taken for the cause of crashes, each under its key: the fingerprint of a request, or
 * the name that {@link PartLedger#key} gives a part. Used on the event loop only.
 */
final class Suspects {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final CrashLedger ledger;
    private final PartLedger parts;
    private final Map<String, Suspect> known = new HashMap<>();
    private LongSupplier reportsAgeNanos = () -> Long.MAX_VALUE;

    Suspects(Timers timers, CrashLedger ledger) {
        this.timers = timers;
        this.ledger = ledger;
        this.parts = ledger.parts();
        parts.onChange(this::noteParts);
    }

    /** Sets what states how long ago the reports of all entries were read, for the log. */
    void reportsAge(LongSupplier nanos) {
        reportsAgeNanos = nanos;
    }

    /** Returns the number of requests among the suspects. */
    int requests() {
        return (int)
                known.keySet().stream().filter(key -> !PartLedger.isKey(key)).count();
    }

    /** Returns the keys for which a request is suspected, none if it may run. */
    List<String> keys(Exchange exchange) {
        List<String> keys = new ArrayList<>();
        exchange.facts().sharedParts().stream()
                .filter(parts.suspects()::contains)
                .forEach(part -> keys.add(PartLedger.key(part)));
        if (ledger.mayHaveSuspects() && ledger.isSuspect(exchange.fingerprint(), timers.now())) {
            keys.add(exchange.fingerprint());
        }
        return keys;
    }

    boolean isSuspect(String key) {
        return PartLedger.isKey(key)
                ? parts.suspects().contains(PartLedger.part(key))
                : ledger.isSuspect(key, timers.now());
    }

    /** Returns the state of a suspect's probes. */
    Suspect get(String key) {
        return known.computeIfAbsent(key, added -> {
            logger.atInfo().log("event=request-suspected %s", describe(key));
            long now = timers.now();
            return new Suspect(now - latestCrashAgeNanos(key, now));
        });
    }

    private long latestCrashAgeNanos(String key, long now) {
        return PartLedger.isKey(key)
                ? parts.latestCrashAgeNanos(PartLedger.part(key), now)
                : ledger.latestCrashAgeNanos(key, now);
    }

    /** Passes on each suspect whose state this entry has and that a request is or holds. */
    void forEachKnown(Exchange exchange, BiConsumer<String, Suspect> call) {
        if (known.isEmpty()) {
            return;
        }
        List<String> keys = new ArrayList<>();
        exchange.facts().sharedParts().forEach(part -> keys.add(PartLedger.key(part)));
        keys.add(exchange.fingerprint());
        keys.stream().filter(known::containsKey).forEach(key -> call.accept(key, known.get(key)));
    }

    /** Passes on each suspect whose state this entry has. */
    void forEachKnown(BiConsumer<String, Suspect> call) {
        Map.copyOf(known).forEach(call);
    }

    /**
     * Returns whether a crash of this request as a probe would rather be the fault of another part: one with as many crashes, which
     * the suspect explains although runs have ended with the suspect.
     */
    boolean otherPartIsLikelier(Exchange exchange) {
        long now = timers.now();
        List<String> held = exchange.facts().sharedParts();
        return held.stream().filter(parts.suspects()::contains).anyMatch(part -> parts.hasEnded(part, now))
                && held.stream()
                        .filter(part -> !parts.suspects().contains(part))
                        .anyMatch(part -> parts.crashes(part).size() >= PartLedger.SUSPECT_CRASHES);
    }

    /** Forgets a suspect that is none any more. Returns whether this entry had its state. */
    boolean clear(String key) {
        return known.remove(key) != null;
    }

    /** Takes note of the parts that have become suspects, and of those that no longer are. */
    private void noteParts() {
        known.keySet().removeIf(key -> {
            boolean cleared = PartLedger.isKey(key) && !isSuspect(key);
            if (cleared) {
                logger.atInfo().log("event=request-cleared %s", describe(key));
            }
            return cleared;
        });
        parts.suspects().forEach(part -> get(PartLedger.key(part)));
    }

    /** Forgets the suspects whose crashes no longer count. */
    void dropExpired() {
        ledger.dropAllExpired(timers.now());
        known.keySet().removeIf(key -> {
            boolean expired = !isSuspect(key);
            if (expired) {
                logger.atInfo().log("event=suspicion-expired %s", describe(key));
            }
            return expired;
        });
    }

    /** Returns the endpoints' incarnations whose crashes speak against a suspect. */
    Set<String> crashes(String key) {
        return PartLedger.isKey(key) ? parts.crashes(PartLedger.part(key)) : ledger.crashes(key, timers.now());
    }

    /** Returns what is known of a request, or of the part that it is suspected for, as {@code key=value} pairs for the log. */
    String describe(Exchange exchange) {
        List<String> keys = keys(exchange);
        return describe(keys.isEmpty() ? exchange.fingerprint() : keys.get(0));
    }

    /** Returns what is known of a suspect as {@code key=value} pairs for the log. */
    String describe(String key) {
        long now = timers.now();
        long ageNanos = reportsAgeNanos.getAsLong();
        boolean isPart = PartLedger.isKey(key);
        return String.format(
                "%s=%s crashed=%s reported_by=%s probes=%d sent=%d reports_age_ms=%d",
                isPart ? "part" : "fingerprint",
                isPart ? PartLedger.part(key) : key,
                crashes(key),
                isPart ? parts.reporters(PartLedger.part(key)) : ledger.reporters(key, now),
                ledger.probes(key, now),
                ledger.sentProbes(key, now),
                ageNanos == Long.MAX_VALUE ? -1 : TimeUnit.NANOSECONDS.toMillis(ageNanos));
    }
}
