package org.quetzalseam.core.crash;

import java.util.List;
import java.util.function.Predicate;

/** All facts that one entry reported. Not thread-safe. */
final class ReportedFacts {
    final FactTable lost;
    final FactTable ended = new FactTable();
    final FactTable probes = new FactTable();
    final FactTable sentProbes = new FactTable();
    final FactTable endedParts = new FactTable();

    /**
     * Creates an empty table of each sort.
     *
     * @param keptLongest tells the prompts whose losses are forgotten last
     */
    ReportedFacts(Predicate<List<String>> keptLongest) {
        lost = new FactTable(keptLongest);
    }
}
