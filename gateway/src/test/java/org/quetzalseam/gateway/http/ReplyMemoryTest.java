package org.quetzalseam.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReplyMemoryTest {
    private static final long MEGABYTE = 1024 * 1024;

    // Guards against replies filling a heap that is smaller than the deployed one.
    @Test
    void repliesTakeAPartOfASmallHeapOnly() {
        assertThat(Connector.replyMemory(24 * MEGABYTE)).isLessThan(5 * MEGABYTE);
        assertThat(Connector.replyMemory(96 * MEGABYTE)).isEqualTo(Connector.MAX_REPLY_MEMORY);
    }
}
