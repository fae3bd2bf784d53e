package org.quetzalseam.gateway.crash;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.quetzalseam.core.crash.CrashLedger;
import org.quetzalseam.core.crash.CrashReport;
import org.quetzalseam.core.crash.CrashReport.Fact;
import org.quetzalseam.gateway.peer.Peers;
import org.quetzalseam.gateway.runtime.Timers;

/**
 * Tells the other entries directly what this one has learnt of crashes, each fact once. That is faster than the store, and works
 * while the store does not; what an entry does not hear it reads there. Used on the event loop only.
 */
final class CrashNews {
    /** Delay of a message, in milliseconds, so that all requests that were lost in one crash are told together. */
    private static final long DELAY_MILLIS = 20;
    /** Size from which on a message gets no further fact, in bytes: one with the longest parts still fits into a frame. */
    private static final int FULL_MESSAGE_BYTES = 8_000;
    /** More than a fact takes beside its texts, and a text beside its characters, in bytes. */
    private static final int OVERHEAD_BYTES = 8;

    private final Timers timers;
    private final Peers peers;
    private final String self;
    private final CrashLedger ledger;
    private Set<Fact> toldLost = Set.of();
    private Set<Fact> toldEnded = Set.of();
    private Set<Fact> toldEndedParts = Set.of();
    private boolean planned;

    CrashNews(Timers timers, Peers peers, String self, CrashLedger ledger) {
        this.timers = timers;
        this.peers = peers;
        this.self = self;
        this.ledger = ledger;
    }

    void tellSoon() {
        if (!planned) {
            planned = true;
            timers.after(DELAY_MILLIS, this::tell);
        }
    }

    private void tell() {
        planned = false;
        CrashReport report = ledger.ownReport(timers.now());
        List<Fact> lost = news(report.lost(), toldLost);
        List<Fact> ended = news(report.ended(), toldEnded);
        List<Fact> endedParts = news(report.endedParts(), toldEndedParts);
        toldLost = new HashSet<>(report.lost());
        toldEnded = new HashSet<>(report.ended());
        toldEndedParts = new HashSet<>(report.endedParts());
        messages(endedParts).forEach(some -> tell(List.of(), List.of(), some));
        messages(ended).forEach(some -> tell(List.of(), some, List.of()));
        messages(lost).forEach(some -> tell(some, List.of(), List.of()));
    }

    private static List<Fact> news(List<Fact> facts, Set<Fact> told) {
        return facts.stream().filter(fact -> !told.contains(fact)).toList();
    }

    /** Splits facts into lists that each fit into a message. */
    private static List<List<Fact>> messages(List<Fact> facts) {
        List<List<Fact>> messages = new ArrayList<>();
        int bytes = FULL_MESSAGE_BYTES;
        for (Fact fact : facts) {
            if (bytes >= FULL_MESSAGE_BYTES) {
                messages.add(new ArrayList<>());
                bytes = 0;
            }
            messages.get(messages.size() - 1).add(fact);
            bytes += bytes(fact);
        }
        return messages;
    }

    private static int bytes(Fact fact) {
        int parts = fact.parts().stream()
                .mapToInt(part -> part.length() + OVERHEAD_BYTES)
                .sum();
        return fact.request().length() + fact.subject().length() + parts + OVERHEAD_BYTES;
    }

    private void tell(List<Fact> lost, List<Fact> ended, List<Fact> endedParts) {
        peers.tellCrashes(self, new CrashReport(lost, ended, List.of(), List.of(), endedParts));
    }
}
