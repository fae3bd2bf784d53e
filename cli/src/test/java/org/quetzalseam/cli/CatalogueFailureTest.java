package org.quetzalseam.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.cli.load.CallerOutcome;
import org.quetzalseam.cli.site.EntryVm;
import org.quetzalseam.cli.site.Wait;
import org.quetzalseam.core.catalogue.Manifest;
import org.quetzalseam.daemon.catalogue.CatalogueException;
import org.quetzalseam.daemon.catalogue.CatalogueStore;
import org.quetzalseam.daemon.catalogue.Verdict;
import org.quetzalseam.daemon.platform.HttpObjectStore;
import org.quetzalseam.standins.PlatformStandIn;

class CatalogueFailureTest {
    private final TestSite site = TestSite.start();
    private final PlatformStandIn platform = site.site().platform();
    private final CatalogueStore store = new CatalogueStore(new HttpObjectStore(platform.url()));

    @AfterEach
    void stop() {
        site.close();
    }

    private Map<String, String> changed(String name) {
        Map<String, String> files = new HashMap<>(site.site().catalogue());
        files.put("extra.ini", "[owner " + name + "]\nweight = 2\n");
        return files;
    }

    private void awaitInForce(long version) {
        Wait.until(
                TestSite.LIMIT,
                "version " + version + " is in force at every entry",
                () -> site.site().entries().stream()
                        .filter(EntryVm::running)
                        .allMatch(entry -> entry.daemon().catalogueVersion() == version));
    }

    private long acceptedVersion() {
        return store.accepted().value().version();
    }

    @Test
    void aValidChangeComesIntoForceAtEveryEntry() {
        awaitInForce(
                store.propose(changed("new-owner"), acceptedVersion(), "me").version());
    }

    @Test
    void anInvalidChangeIsRefusedWithItsProblemsAndNothingChanges() {
        long before = acceptedVersion();
        Map<String, String> files = changed("x");
        files.put("bad.ini", "[entry e]\nowner = nobody\nroute = model none\n");
        Manifest proposal = store.propose(files, before, "me");
        Wait.until(TestSite.LIMIT, "a verdict", () -> store.verdict().value().writer() == proposal.writer());
        Verdict verdict = store.verdict().value();
        assertThat(verdict.problems()).anySatisfy(problem -> assertThat(problem).contains("bad.ini", "nobody"));
        assertThat(acceptedVersion()).isEqualTo(before);
        assertThat(site.entry(0).daemon().catalogueVersion()).isEqualTo(before);
        awaitInForce(store.propose(changed("y"), before, "me").version());
    }

    @Test
    void ofConcurrentProposalsOneWinsAndTheOthersConflict() {
        long base = acceptedVersion();
        List<CompletableFuture<Boolean>> results = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            String name = "racer-" + i;
            results.add(CompletableFuture.supplyAsync(() -> wins(name, base), TestThreads.EXECUTOR));
        }
        long winners = results.stream().filter(CompletableFuture::join).count();
        assertThat(winners).isEqualTo(1);
        awaitInForce(base + 1);
    }

    private boolean wins(String name, long base) {
        try {
            store.propose(changed(name), base, name);
            return true;
        } catch (CatalogueException e) {
            assertThat(e.code()).isEqualTo(CatalogueException.Code.CONFLICT);
            return false;
        }
    }

    @Test
    void aChangeMadeFromAnOldVersionIsNotAccepted() {
        long base = acceptedVersion();
        awaitInForce(store.propose(changed("first"), base, "me").version());
        assertThatThrownBy(() -> store.propose(changed("second"), base, "other"))
                .isInstanceOf(CatalogueException.class)
                .hasMessageContaining("in force");
    }

    @Test
    void aWriteWhoseAnswerIsLostIsNotMadeTwice() {
        long base = acceptedVersion();
        platform.loseAnswers(2);
        long version = store.propose(changed("lost"), base, "me").version();
        assertThat(version).isEqualTo(base + 1);
        awaitInForce(base + 1);
    }

    @Test
    void aChangeProposedJustBeforeAnOutageComesIntoForceAfterIt() {
        long version = store.propose(changed("outage"), acceptedVersion(), "me").version();
        platform.down(true);
        Wait.sleep(Duration.ofMillis(700));
        assertThat(site.shortCompletion(site.entry(0)).join().outcome()).isEqualTo(CallerOutcome.ANSWERED);
        platform.down(false);
        awaitInForce(version);
    }

    @Test
    void anEntryThatStartsDuringAnOutageReceivesTheNewestCatalogueFromItsPeers() {
        long version = store.propose(changed("peer"), acceptedVersion(), "me").version();
        awaitInForce(version);
        Wait.until(
                TestSite.LIMIT,
                "every endpoint has the version",
                () -> site.site().endpoints().stream()
                        .allMatch(vm -> vm.daemon().catalogueVersion() == version));
        platform.down(true);
        site.entry(0).crash();
        site.entry(1).crash();
        site.entry(0).start();
        Wait.until(
                TestSite.LIMIT,
                "the version is in force",
                () -> site.entry(0).daemon().catalogueVersion() == version);
        Wait.until(TestSite.LIMIT, "links", () -> site.entry(0).daemon().connectedEndpoints() == 6);
        assertThat(site.shortCompletion(site.entry(0)).join().outcome()).isEqualTo(CallerOutcome.ANSWERED);
        platform.down(false);
    }

    @Test
    void aStoreThatRevertsToAnOlderStateDoesNotRevertTheSiteAndIsCorrected() {
        String old = platform.data(CatalogueStore.ACCEPTED);
        long version = store.propose(changed("kept"), acceptedVersion(), "me").version();
        awaitInForce(version);
        assertThat(old).isNotNull();
        platform.overwrite(CatalogueStore.ACCEPTED, old);
        Wait.until(TestSite.LIMIT, "the store holds the newer version again", () -> acceptedVersion() == version);
        assertThat(site.entry(0).daemon().catalogueVersion()).isEqualTo(version);
        assertThat(site.entry(1).daemon().catalogueVersion()).isEqualTo(version);
    }

    @Test
    void aSlowStoreDelaysAChangeButDoesNotStopIt() {
        platform.slow(150);
        awaitInForce(store.propose(changed("slow"), acceptedVersion(), "me").version());
        platform.slow(0);
    }
}
