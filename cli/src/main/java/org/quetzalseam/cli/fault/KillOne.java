package org.quetzalseam.cli.fault;

import java.time.Duration;
import org.quetzalseam.cli.site.EndpointVm;
import org.quetzalseam.cli.site.Site;
import org.quetzalseam.cli.site.Wait;
import org.quetzalseam.daemon.settings.Settings.BackendKind;

/** Kills one decode endpoint in the middle of a run without restarting it. Stateless. */
public final class KillOne {
    private KillOne() {}

    /** Kills the first decode endpoint of a site after a delay in seconds, on a separate thread. */
    public static void after(Site site, double seconds) {
        Thread thread = new Thread(() -> {
            Wait.sleep(Duration.ofMillis((long) (seconds * 1000)));
            site.endpoints().stream()
                    .filter(vm -> vm.pool().kind() == BackendKind.DECODE)
                    .findFirst()
                    .ifPresent(EndpointVm::crash);
        });
        thread.setDaemon(true);
        thread.start();
    }
}
