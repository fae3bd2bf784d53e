package org.quetzalseam.core.crash;

import java.util.List;

/**
 * What one entry reports of requests that were lost when endpoints crashed. Immutable. Reports are merged by union: the order
 * in which they are read does not matter, and they state no time of day.
 *
 * @param lost requests that were lost in the crash of an endpoint's incarnation
 * @param ended requests that ended elsewhere, each with a crash that it therefore did not cause
 * @param probes claims of probes of what is quarantined, each with an id of its own
 * @param sentProbes the claims with which a probe was sent
 * @param endedParts parts of prompts with which a run ended, each with a crash that it therefore did not cause
 */
public record CrashReport(
        List<Fact> lost, List<Fact> ended, List<Fact> probes, List<Fact> sentProbes, List<Fact> endedParts) {
    /** The report of an entry that has nothing to report. */
    public static final CrashReport EMPTY = new CrashReport(List.of(), List.of(), List.of());

    /** Creates a report of copies of the given lists. */
    public CrashReport {
        lost = List.copyOf(lost);
        ended = List.copyOf(ended);
        probes = List.copyOf(probes);
        sentProbes = List.copyOf(sentProbes);
        endedParts = List.copyOf(endedParts);
    }

    /** Creates the report of an entry that knows no parts. */
    public CrashReport(List<Fact> lost, List<Fact> ended, List<Fact> probes, List<Fact> sentProbes) {
        this(lost, ended, probes, sentProbes, List.of());
    }

    /** Creates the report of an entry that knows no parts and has sent no probe. */
    public CrashReport(List<Fact> lost, List<Fact> ended, List<Fact> probes) {
        this(lost, ended, probes, List.of());
    }

    /**
     * One fact about a request, or about a part of prompts. Immutable.
     *
     * @param request the fingerprint of the request; of an ended part the part, and of a claim for one its {@link PartLedger#key}
     * @param subject the incarnation that crashed, or the id of the claim
     * @param parts of a lost request, the parts of its prompt that other requests may hold too, in order; else empty
     */
    public record Fact(String request, String subject, List<String> parts) {
        /** Copies the list of parts. */
        public Fact {
            parts = List.copyOf(parts);
        }

        /** Creates a fact about a request whose parts are not known, or do not matter. */
        public Fact(String request, String subject) {
            this(request, subject, List.of());
        }
    }
}
