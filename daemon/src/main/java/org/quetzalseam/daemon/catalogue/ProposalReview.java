package org.quetzalseam.daemon.catalogue;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.quetzalseam.core.catalogue.CatalogueParser;
import org.quetzalseam.core.catalogue.CatalogueParser.Parsed;
import org.quetzalseam.core.catalogue.Manifest;
import org.quetzalseam.core.ini.Problem;
import org.quetzalseam.daemon.catalogue.CatalogueStore.Versioned;
import org.quetzalseam.daemon.platform.WatchLoop;
import org.quetzalseam.wire.runtime.Service;

/**
 * Reviews proposed catalogues: puts a valid one in force and refuses an invalid one with its problems. Every entry may run a review,
 * because conditional updates let only one of them succeed. Each delays its review in proportion to its rank, so that usually only
 * one acts. Thread-safe.
 */
public final class ProposalReview implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long RANK_DELAY_MILLIS = 150;
    private static final int MAX_PROBLEMS = 50;

    private final CatalogueStore store;
    private final int rank;
    private final WatchLoop loop;
    private long storeVersion;

    /**
     * Creates a review.
     *
     * @param store the catalogue's objects
     * @param rank this process's position among the reviewers, from 0
     * @param processName the process's name
     */
    public ProposalReview(CatalogueStore store, int rank, String processName) {
        this.store = store;
        this.rank = rank;
        this.loop = new WatchLoop(processName + "-proposal-review", this::poll);
    }

    @Override
    public void start() {
        loop.start();
    }

    private void poll(Duration wait) {
        store.watchProposal(storeVersion, wait).ifPresent(this::reviewInRankOrder);
    }

    private void reviewInRankOrder(Versioned<Manifest> proposal) {
        loop.pause(rank * RANK_DELAY_MILLIS);
        review(proposal.value());
        storeVersion = proposal.storeVersion();
    }

    /** Accepts or refuses a proposal, unless it has been decided already. */
    void review(Manifest proposal) {
        Versioned<Manifest> accepted = store.accepted();
        if (proposal.version() != accepted.value().version() + 1) {
            return;
        }
        Versioned<Verdict> verdict = store.verdict();
        if (verdict.value().writer() == proposal.writer()) {
            return;
        }
        List<String> problems = problems(proposal);
        if (problems.isEmpty()) {
            store.accept(proposal, accepted.storeVersion());
            logger.atInfo().log(
                    "event=proposal-accepted version=%d author=\"%s\"", proposal.version(), proposal.author());
        } else {
            store.refuse(new Verdict(proposal.version(), proposal.writer(), problems), verdict.storeVersion());
            logger.atInfo().log("event=proposal-refused version=%d problems=%d", proposal.version(), problems.size());
        }
    }

    private List<String> problems(Manifest proposal) {
        try {
            Map<String, String> files = store.load(proposal).files();
            Parsed parsed = CatalogueParser.parse(files);
            return parsed.problems().stream()
                    .limit(MAX_PROBLEMS)
                    .map(Problem::toString)
                    .toList();
        } catch (CatalogueException e) {
            if (e.code() == CatalogueException.Code.BROKEN) {
                return List.of(String.valueOf(e.getMessage()));
            }
            throw e;
        }
    }

    @Override
    public void stop() {
        loop.stop();
    }
}
