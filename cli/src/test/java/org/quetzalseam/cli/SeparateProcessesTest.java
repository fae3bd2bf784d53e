package org.quetzalseam.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.quetzalseam.cli.load.Caller;
import org.quetzalseam.cli.load.CallerOutcome;
import org.quetzalseam.cli.load.PlannedRequest;
import org.quetzalseam.cli.load.Sample;
import org.quetzalseam.cli.site.Deployment;
import org.quetzalseam.cli.site.Traffic;
import org.quetzalseam.cli.site.Wait;
import org.quetzalseam.daemon.catalogue.CatalogueStore;
import org.quetzalseam.daemon.platform.HttpObjectStore;
import org.quetzalseam.standins.EngineCosts;
import org.quetzalseam.standins.EngineStandIn;
import org.quetzalseam.standins.KvRegistry;
import org.quetzalseam.standins.PlatformStandIn;

class SeparateProcessesTest {
    private static final String MODEL = "summary-models";

    @TempDir
    private Path directory = Path.of("");

    private final PlatformStandIn platform = new PlatformStandIn();
    private final KvRegistry registry = new KvRegistry();
    private final EngineCosts costs = EngineCosts.usual().faster(4);
    private final EngineStandIn prefiller = new EngineStandIn(costs, registry);
    private final EngineStandIn decoder = new EngineStandIn(costs, registry);
    private final Deployment deployment = Deployment.bundled("kowhai");
    private final List<DaemonProcess> processes = new ArrayList<>();
    private final Caller caller = new Caller();

    private DaemonProcess start(String role, String name, String pool, String backend) throws IOException {
        DaemonProcess process = new DaemonProcess(directory, role, name, platform, pool, backend);
        processes.add(process);
        return process;
    }

    private static String backend(String kind, EngineStandIn engine) {
        return "[backend]\nkind = " + kind + "\nurl = " + engine.url() + "\n";
    }

    @BeforeEach
    void startProcesses() throws IOException {
        start("endpoint", "p1", MODEL + "-prefill", backend("prefill", prefiller));
        start("endpoint", "d1", MODEL + "-decode", backend("decode", decoder));
        start("entry", "e1", "", "");
        new CatalogueStore(new HttpObjectStore(platform.url())).propose(deployment.catalogue(), 0, "test");
        Wait.until(TestSite.LIMIT, "the entry is ready", () -> isReady(entry()));
        Wait.until(
                TestSite.LIMIT, "requests are answered", () -> digest(5).join().outcome() == CallerOutcome.ANSWERED);
    }

    @AfterEach
    void killProcesses() {
        processes.forEach(DaemonProcess::kill);
        prefiller.stop();
        decoder.stop();
        platform.stop();
    }

    private DaemonProcess entry() {
        return processes.get(2);
    }

    private DaemonProcess decodeEndpoint() {
        return processes.get(1);
    }

    private static boolean isReady(DaemonProcess process) {
        try {
            URI uri = URI.create("http://127.0.0.1:" + process.operatorPort() + "/readyz");
            return HttpClient.newHttpClient()
                            .send(HttpRequest.newBuilder(uri).build(), BodyHandlers.discarding())
                            .statusCode()
                    == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private CompletableFuture<Sample> digest(int outputs) {
        Traffic traffic = deployment.traffic().get(0);
        PlannedRequest planned =
                new PlannedRequest(outputs, 0, traffic, traffic.owners().get(0), 1200, outputs);
        String url = "http://127.0.0.1:" + entry().port();
        return CompletableFuture.supplyAsync(
                () -> caller.send(planned, url, System.nanoTime(), "own", -1), TestThreads.EXECUTOR);
    }

    private void awaitHeld() {
        Wait.until(TestSite.LIMIT, "decoding", () -> decoder.heldSequences() > 0);
    }

    @Test
    void aPlannedStopOfTheEntryLetsTheAnswerEndAndExitsWithZero() throws InterruptedException {
        CompletableFuture<Sample> running = digest(200);
        awaitHeld();
        assertThat(entry().stop()).isZero();
        assertThat(running.join().outcome()).isEqualTo(CallerOutcome.ANSWERED);
    }

    @Test
    void aPlannedStopOfTheEndpointLetsTheAnswerEndAndExitsWithZero() throws InterruptedException {
        CompletableFuture<Sample> running = digest(200);
        awaitHeld();
        assertThat(decodeEndpoint().stop()).isZero();
        assertThat(running.join().outcome()).isEqualTo(CallerOutcome.ANSWERED);
    }

    @Test
    void anEndpointPausedPastTheLeaseContinuesTheWorkThatItsEntryStillHolds() throws IOException, InterruptedException {
        CompletableFuture<Sample> running = digest(200);
        awaitHeld();
        decodeEndpoint().signal("stop");
        Wait.sleep(Duration.ofMillis(2500));
        decodeEndpoint().signal("cont");
        assertThat(running.join().outcome()).isEqualTo(CallerOutcome.ANSWERED);
    }

    @Test
    void anEntryPausedPastItsLeaseHoldsNoMemoryAndReportsAnIncompleteAnswer() throws IOException, InterruptedException {
        CompletableFuture<Sample> running = digest(600);
        awaitHeld();
        entry().signal("stop");
        Wait.until(TestSite.LIMIT, "the memory is freed at the end of the lease", () -> decoder.heldSequences() == 0);
        entry().signal("cont");
        assertThat(running.join().outcome()).isEqualTo(CallerOutcome.INCOMPLETE);
    }

    @Test
    void aKilledEntryHoldsNoMemory() {
        CompletableFuture<Sample> running = digest(600);
        awaitHeld();
        entry().kill();
        Wait.until(TestSite.LIMIT, "the memory is freed at the end of the lease", () -> decoder.heldSequences() == 0);
        assertThat(running.join().outcome()).isEqualTo(CallerOutcome.CUT_OFF);
    }
}
