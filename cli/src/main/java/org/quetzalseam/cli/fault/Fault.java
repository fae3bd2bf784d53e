package org.quetzalseam.cli.fault;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.quetzalseam.cli.site.EndpointVm;
import org.quetzalseam.cli.site.EntryVm;
import org.quetzalseam.cli.site.Site;
import org.quetzalseam.cli.site.Wait;
import org.quetzalseam.daemon.catalogue.CatalogueException;
import org.quetzalseam.daemon.catalogue.CatalogueStore;
import org.quetzalseam.daemon.platform.HttpObjectStore;
import org.quetzalseam.daemon.platform.StoreException;
import org.quetzalseam.daemon.settings.Settings.BackendKind;

/** A kind of fault that can be injected into a site. Each ends by itself after a while. */
enum Fault {
    /** The connections to an endpoint are cut. */
    CUT {
        @Override
        void inject(Site site, SplittableRandom random) {
            anyEndpoint(site, random).proxy().cut();
        }
    },
    /** The network to an endpoint delays all data for a while, as if the process were paused. */
    FREEZE {
        @Override
        void inject(Site site, SplittableRandom random) {
            EndpointVm vm = anyEndpoint(site, random);
            vm.proxy().freeze(true);
            Wait.sleep(Duration.ofMillis(random.nextInt(100, 3_000)));
            vm.proxy().freeze(false);
        }
    },
    /** An endpoint is unreachable for a while. */
    PARTITION {
        @Override
        void inject(Site site, SplittableRandom random) {
            EndpointVm vm = anyEndpoint(site, random);
            vm.proxy().partition(true);
            Wait.sleep(Duration.ofMillis(random.nextInt(100, 3_000)));
            vm.proxy().partition(false);
        }
    },
    /** An endpoint's process is killed and restarted. */
    ENDPOINT_CRASH {
        @Override
        void inject(Site site, SplittableRandom random) {
            EndpointVm vm = anyEndpoint(site, random);
            vm.crash();
            Wait.sleep(Duration.ofMillis(random.nextInt(50, 1_500)));
            vm.start();
        }
    },
    /** An endpoint's process is shut down gracefully and restarted. */
    ENDPOINT_STOP {
        @Override
        void inject(Site site, SplittableRandom random) {
            EndpointVm vm = anyEndpoint(site, random);
            vm.stop();
            vm.start();
        }
    },
    /** An entry's process is killed and restarted. */
    ENTRY_CRASH {
        @Override
        void inject(Site site, SplittableRandom random) {
            EntryVm vm = site.entries().get(random.nextInt(site.entries().size()));
            vm.crash();
            Wait.sleep(Duration.ofMillis(random.nextInt(50, 1_500)));
            vm.start();
        }
    },
    /** An entry's process is shut down gracefully and restarted. */
    ENTRY_STOP {
        @Override
        void inject(Site site, SplittableRandom random) {
            EntryVm vm = site.entries().get(random.nextInt(site.entries().size()));
            vm.stop();
            vm.start();
        }
    },
    /** The platform's store is down for a while. */
    STORE_OUTAGE {
        @Override
        void inject(Site site, SplittableRandom random) {
            site.platform().down(true);
            Wait.sleep(Duration.ofMillis(random.nextInt(200, 4_000)));
            site.platform().down(false);
        }
    },
    /** The platform's store is slow for a while. */
    STORE_SLOW {
        @Override
        void inject(Site site, SplittableRandom random) {
            site.platform().slow(random.nextInt(20, 400));
            Wait.sleep(Duration.ofMillis(random.nextInt(200, 3_000)));
            site.platform().slow(0);
        }
    },
    /** Two operators propose conflicting catalogue changes, and the responses to some writes are lost. */
    CATALOGUE_RACE {
        @Override
        void inject(Site site, SplittableRandom random) {
            site.platform().loseAnswers(random.nextInt(3));
            CatalogueStore store =
                    new CatalogueStore(new HttpObjectStore(site.platform().url()));
            for (int i = 0; i < 2; i++) {
                Map<String, String> files = new HashMap<>(site.catalogue());
                files.put("extra.ini", "[owner extra-" + random.nextInt(1_000_000) + "]\nweight = 1\n");
                try {
                    store.propose(files, store.accepted().value().version(), "fault");
                } catch (CatalogueException | StoreException expected) {
                    // A conflict or an outage: an operator would see the error and retry.
                }
            }
        }
    },
    /** The platform's store reverts to an older accepted catalogue. */
    STORE_REVERT {
        @Override
        void inject(Site site, SplittableRandom random) {
            String old = site.platform().data(CatalogueStore.ACCEPTED);
            CATALOGUE_RACE.inject(site, random);
            Wait.sleep(Duration.ofMillis(random.nextInt(200, 1_500)));
            if (old != null) {
                site.platform().overwrite(CatalogueStore.ACCEPTED, old);
            }
        }
    },
    /** An engine refuses new work for a while. */
    ENGINE_REFUSES {
        @Override
        void inject(Site site, SplittableRandom random) {
            List<EndpointVm> engines = site.endpoints().stream()
                    .filter(vm -> vm.pool().kind() != BackendKind.SERVICE)
                    .toList();
            EndpointVm vm = engines.get(random.nextInt(engines.size()));
            vm.backend().engine().refuse(true);
            Wait.sleep(Duration.ofMillis(random.nextInt(100, 1_000)));
            vm.backend().engine().refuse(false);
        }
    },
    /** For a while, a service executes calls but closes the connections without a response. */
    SERVICE_BREAKS_OFF {
        @Override
        void inject(Site site, SplittableRandom random) {
            List<EndpointVm> services = site.endpoints().stream()
                    .filter(vm -> vm.pool().kind() == BackendKind.SERVICE)
                    .toList();
            EndpointVm vm = services.get(random.nextInt(services.size()));
            vm.backend().service().breakOff(true);
            Wait.sleep(Duration.ofMillis(random.nextInt(50, 400)));
            vm.backend().service().breakOff(false);
        }
    };

    /** Injects the fault and returns when it is over. */
    abstract void inject(Site site, SplittableRandom random);

    private static EndpointVm anyEndpoint(Site site, SplittableRandom random) {
        return site.endpoints().get(random.nextInt(site.endpoints().size()));
    }
}
