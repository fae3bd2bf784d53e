package org.quetzalseam.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.cli.load.CallerOutcome;
import org.quetzalseam.cli.load.Sample;
import org.quetzalseam.cli.site.EndpointVm;
import org.quetzalseam.cli.site.Wait;
import org.quetzalseam.daemon.catalogue.CatalogueStore;
import org.quetzalseam.daemon.platform.HttpObjectStore;
import org.quetzalseam.standins.PlatformStandIn;
import org.quetzalseam.standins.PlatformStandIn.ListedVm;

/** Tests a site whose platform store is restored from an older copy: later writes are lost, and their versions are assigned again. */
class RestoredPlatformTest {
    /** Time within which running VMs are on the list again. */
    private static final Duration RELISTING_TIME = Duration.ofSeconds(2);

    /** Maximum number of reads of the store per second by two entries that only wait for changes. */
    private static final long MAX_READS_PER_SECOND = 40;

    private final TestSite site = TestSite.start();
    private final PlatformStandIn platform = site.site().platform();

    @AfterEach
    void stop() {
        site.close();
    }

    private ListedVm listed(EndpointVm vm) {
        return new ListedVm(
                vm.name(),
                "endpoint",
                "akl-east",
                vm.pool().name(),
                vm.proxy().port(),
                vm.daemon().operatorPort(),
                false);
    }

    private void awaitListed(int endpoints) {
        Wait.until(
                TestSite.LIMIT,
                endpoints + " endpoints on the list",
                () -> site.site().entries().stream()
                        .allMatch(entry -> entry.daemon().listedEndpoints() == endpoints));
    }

    /**
     * Guards against an entry that never adopts the restored list, because each answer shows one that seems older than its own, and
     * requests it again at once.
     */
    @Test
    void listChangesAfterARestoreAreSeenAndReadsArePaced() {
        PlatformStandIn.Copy copy = platform.copy();
        for (int i = 0; i < 10; i++) {
            platform.list(new ListedVm("other-" + i, "entry", "akl-east", "", 1, 1, true));
        }
        Wait.sleep(Duration.ofMillis(500));
        platform.restore(copy);
        EndpointVm removed = site.services().get(0);
        removed.crash();
        removed.unlist();
        awaitListed(5);
        long before = platform.reads();
        Wait.sleep(Duration.ofSeconds(1));
        assertThat(platform.reads() - before).isLessThan(MAX_READS_PER_SECOND);
    }

    /** The copy was made before the endpoint was listed. The endpoint serves requests throughout. */
    @Test
    void workAtAnEndpointMissingFromTheCopyIsNotInterrupted() {
        EndpointVm late = site.decodeEndpoints().get(0);
        EndpointVm other = site.decodeEndpoints().get(1);
        platform.unlist(late.name());
        platform.unlist(other.name());
        awaitListed(4);
        PlatformStandIn.Copy copy = platform.copy();
        platform.list(listed(late));
        platform.list(listed(other));
        Wait.until(
                TestSite.LIMIT,
                "all links are connected",
                () -> site.site().entries().stream()
                        .allMatch(entry -> entry.daemon().connectedEndpoints() == 6));
        CompletableFuture<Sample> running = site.longCompletion(site.entry(0), 1200, 600, -1);
        site.awaitHeld(1);
        platform.restore(copy);
        Wait.sleep(RELISTING_TIME.dividedBy(2));
        platform.list(listed(late));
        platform.list(listed(other));
        assertThat(running.join().outcome()).as("%s", running.join().code()).isEqualTo(CallerOutcome.ANSWERED);
        assertThat(site.shortCompletion(site.entry(0)).join().outcome()).isEqualTo(CallerOutcome.ANSWERED);
    }

    @Test
    void anEndpointThatIsNotListedAgainIsRemovedAfterADelay() {
        EndpointVm late = site.services().get(0);
        platform.unlist(late.name());
        awaitListed(5);
        PlatformStandIn.Copy copy = platform.copy();
        platform.list(listed(late));
        awaitListed(6);
        platform.restore(copy);
        Wait.sleep(RELISTING_TIME.dividedBy(2));
        assertThat(site.entry(0).daemon().listedEndpoints()).isEqualTo(6);
        awaitListed(5);
    }

    /** The version that entries run is not reverted, and the next change gets a higher version. */
    @Test
    void aChangeMissingFromTheCopyStaysInForceAndTheNextOneFollows() {
        CatalogueStore store = new CatalogueStore(new HttpObjectStore(platform.url()));
        PlatformStandIn.Copy copy = platform.copy();
        long first = proposeOwner(store, "one");
        site.site().awaitCatalogue(first);
        platform.restore(copy);
        Wait.until(
                TestSite.LIMIT,
                "the change is stored again",
                () -> store.accepted().value().version() == first);
        assertThat(site.entry(0).daemon().catalogueVersion()).isEqualTo(first);
        long second = proposeOwner(store, "two");
        assertThat(second).isGreaterThan(first);
        site.site().awaitCatalogue(second);
    }

    private long proposeOwner(CatalogueStore store, String owner) {
        Map<String, String> files = new HashMap<>(site.site().catalogue());
        files.put("extra.ini", "[owner " + owner + "]\nweight = 2\n");
        return store.propose(files, store.accepted().value().version(), "me").version();
    }
}
