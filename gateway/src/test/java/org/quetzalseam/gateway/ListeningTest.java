package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

class ListeningTest {
    @Test
    void anEntryOnPortZeroReportsThePortsThatItListensOn() {
        try (TestEntry entry = new TestEntry()) {
            List<InetSocketAddress> addresses = List.of(
                    entry.listening().callers(),
                    entry.listening().ready(),
                    entry.listening().metrics());
            assertThat(addresses).doesNotHaveDuplicates().noneMatch(address -> address.getPort() == 0);
            for (InetSocketAddress address : addresses) {
                try (TestEntry.Caller caller = new TestEntry.Caller(address)) {
                    caller.write("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
                    assertThat(caller.readAll()).startsWith("HTTP/1.1 ");
                }
            }
        }
    }

    @Test
    void entriesOnPortZeroListenOnDifferentPorts() {
        try (TestEntry first = new TestEntry();
                TestEntry second = new TestEntry()) {
            assertThat(second.address()).isNotEqualTo(first.address());
        }
    }
}
