package org.quetzalseam.core.crash;

import java.util.List;

/**
 * What one entry reports of requests that were lost when endpoints crashed. Immutable. Reports are merged by union: the order
 * in which they are read does not matter, and they state no time of day.
 *
 * @param lost requests that were lost in the crash of an endpoint's incarnation
 * @param ended requests that ended elsewhere, each with a crash that it therefore did not cause
 * @param probes claims of probes of quarantined requests, each with an id of its own
 * @param sentProbes the claims with which a probe was sent
 */
public record CrashReport(List<Fact> lost, List<Fact> ended, List<Fact> probes, List<Fact> sentProbes) {
    /** The report of an entry that has nothing to report. */
    public static final CrashReport EMPTY = new CrashReport(List.of(), List.of(), List.of());

    /** Creates a report of copies of the given lists. */
    public CrashReport {
        lost = List.copyOf(lost);
        ended = List.copyOf(ended);
        probes = List.copyOf(probes);
        sentProbes = List.copyOf(sentProbes);
    }

    /** Creates the report of an entry that has sent no probe. */
    public CrashReport(List<Fact> lost, List<Fact> ended, List<Fact> probes) {
        this(lost, ended, probes, List.of());
    }

    /**
     * One fact about a request. Immutable.
     *
     * @param request the fingerprint of the request
     * @param subject the incarnation that crashed, or the id of the claim
     */
    public record Fact(String request, String subject) {}
}
