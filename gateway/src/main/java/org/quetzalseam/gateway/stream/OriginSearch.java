package org.quetzalseam.gateway.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.quetzalseam.gateway.peer.OriginAnswer;
import org.quetzalseam.gateway.peer.Peers;

/** Asks other entries where a stream began: the likely ones first, then the others. Used on the event loop only. */
final class OriginSearch {
    /** Entries asked first: those that keep a record, and two more, because lists of the entries may differ. */
    private static final int ASKED_FIRST = OriginCopies.COPIES + 2;
    /** Entries asked in all, so that a search costs the same at any size of the site. */
    private static final int ASKED_AT_MOST = 32;

    private final Peers peers;
    private final String attempt;
    private final List<String> ranked;
    private final Consumer<OriginFinding> found;
    private int asked;
    private int pending;
    private final List<String> silent = new ArrayList<>();
    private boolean repeated;
    private boolean ended;

    OriginSearch(Peers peers, String attempt, List<String> ranked, Consumer<OriginFinding> found) {
        this.peers = peers;
        this.attempt = attempt;
        this.ranked = ranked.subList(0, Math.min(ASKED_AT_MOST, ranked.size()));
        this.found = found;
    }

    void start() {
        askNext(ASKED_FIRST);
    }

    private void askNext(int count) {
        List<String> batch = List.copyOf(ranked.subList(asked, Math.min(asked + count, ranked.size())));
        asked += batch.size();
        ask(batch);
    }

    private void ask(List<String> batch) {
        if (batch.isEmpty()) {
            end(OriginFinding.unknown(asked, silent.size()));
            return;
        }
        pending = batch.size();
        batch.forEach(peer -> peers.askOrigin(peer, attempt, answer -> answered(peer, answer)));
    }

    private void answered(String peer, OriginAnswer answer) {
        pending--;
        if (ended) {
            return;
        }
        if (answer.origin().isPresent()) {
            end(OriginFinding.known(answer.origin().get(), peer, asked));
            return;
        }
        if (answer.silent()) {
            silent.add(peer);
        }
        if (pending == 0) {
            goOn();
        }
    }

    /** Asks the rest; at the end repeats the question to those that were silent, whose connections may have been unresponsive. */
    private void goOn() {
        if (asked < ranked.size()) {
            askNext(ranked.size());
        } else if (!repeated && !silent.isEmpty()) {
            repeated = true;
            List<String> again = List.copyOf(silent);
            silent.clear();
            ask(again);
        } else {
            end(OriginFinding.unknown(asked, silent.size()));
        }
    }

    private void end(OriginFinding finding) {
        ended = true;
        found.accept(finding);
    }
}
