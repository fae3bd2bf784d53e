package org.quetzalseam.cli;

import static org.quetzalseam.cli.CrowdedDaemons.BYTES_EACH;
import static org.quetzalseam.cli.CrowdedDaemons.DEPOSITS;
import static org.quetzalseam.cli.CrowdedDaemons.FEW;
import static org.quetzalseam.cli.CrowdedDaemons.MANY;
import static org.quetzalseam.cli.CrowdedDaemons.MORE_THAN_DESCRIPTORS;
import static org.quetzalseam.cli.CrowdedDaemons.TOKEN;
import static org.quetzalseam.cli.CrowdedDaemons.bytes;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalseam.standins.client.NonReadingClients;

/** Tests an entry and an endpoint as processes while clients at one of their ports send and never read. */
class NonReadingClientsTest {
    private static final int BODY_BYTES = 2 * 1024 * 1024;
    private static final int HEADERS = 4_000;

    @TempDir
    private Path directory = Path.of("");

    private CrowdedDaemons daemons;

    @BeforeEach
    void startProcesses() throws IOException {
        daemons = new CrowdedDaemons(directory);
    }

    @AfterEach
    void stop() {
        daemons.close();
    }

    // Guards against requests being read and answered on and on while the answers before them lie unread, and against
    // unread pages that keep the port from answering anyone else.
    @ParameterizedTest
    @CsvSource({
        "entry, callers, /nowhere",
        "entry, callers, /v1/models",
        "entry, operators, /readyz",
        "entry, operators, /metrics",
        "endpoint, operators, /readyz",
        "endpoint, operators, /status"
    })
    void requestsSentAheadOfUnreadAnswersKeepNobodyElseOut(String role, String port, String path)
            throws InterruptedException {
        DaemonProcess process = daemons.process(role);
        daemons.check(
                port.equals("callers") ? process.port() : process.operatorPort(),
                FEW,
                bytes("GET " + path + " HTTP/1.1\r\nHost: h\r\n" + TOKEN + "\r\n"),
                BYTES_EACH);
    }

    // Guards against connections that leave no descriptor for callers, status checks and other processes.
    @ParameterizedTest
    @CsvSource({"entry, callers", "entry, operators", "endpoint, operators", "endpoint, entries"})
    void moreConnectionsThanDescriptorsLeaveRoomForOthers(String role, String port) throws InterruptedException {
        DaemonProcess process = daemons.process(role);
        byte[] part = port.equals("entries") ? new byte[] {0} : bytes("GET / HTTP/1.1\r\n");
        daemons.check(
                port.equals("operators") ? process.operatorPort() : process.port(),
                MORE_THAN_DESCRIPTORS,
                part,
                part.length);
    }

    // Guards against the heads and bodies of requests that never end filling the heap.
    @ParameterizedTest
    @CsvSource({"heads", "bodies"})
    void partsOfRequestsDoNotFillTheMemory(String which) throws InterruptedException {
        String begin = "POST " + DEPOSITS + " HTTP/1.1\r\nHost: h\r\n" + TOKEN;
        String part = which.equals("heads")
                ? begin + "a:b\r\n".repeat(HEADERS)
                : begin + "Content-Length: " + (BODY_BYTES + 1) + "\r\n\r\n" + "x".repeat(BODY_BYTES);
        daemons.check(daemons.entry().port(), MANY, bytes(part), part.length());
    }

    // Guards against a new connection between processes failing because others never prove who they are.
    @Test
    void anEntryThatStartsBesideSilentConnectionsReachesTheEndpoint() throws IOException, InterruptedException {
        try (NonReadingClients crowd = new NonReadingClients(
                CrowdedDaemons.address(daemons.endpoint().port()), MORE_THAN_DESCRIPTORS, new byte[] {0}, 1)) {
            crowd.awaitSettled(CrowdedDaemons.SETTLE_MILLIS);
            daemons.replaceEntry();
            daemons.assertServing("by the new entry");
        }
    }
}
