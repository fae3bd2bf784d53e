package org.quetzalseam.gateway.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ReceivedBodyTest {
    private static byte[] bytes(int count) {
        byte[] bytes = new byte[count];
        new Random(count).nextBytes(bytes);
        return bytes;
    }

    private static ReceivedBody inParts(byte[] whole, int expectedBytes, int partBytes) {
        ReceivedBody body = new ReceivedBody(PooledByteBufAllocator.DEFAULT, expectedBytes);
        for (int from = 0; from < whole.length; from += partBytes) {
            body.add(Unpooled.wrappedBuffer(whole, from, Math.min(partBytes, whole.length - from)));
        }
        return body;
    }

    @Test
    void theWholeBodyHasTheBytesInTheirOrderHoweverTheyArrive() {
        for (int length : new int[] {0, 1, 1_024, 1_025, 70_000, 300_000}) {
            for (int part : new int[] {1, 10, 1_000, 16_384}) {
                byte[] sent = bytes(length);
                for (int expected : new int[] {0, length}) {
                    ByteBuf whole = inParts(sent, expected, part).whole();
                    byte[] received = new byte[whole.readableBytes()];
                    whole.readBytes(received);
                    whole.release();
                    assertThat(received)
                            .as("%d bytes, %d at a time", length, part)
                            .isEqualTo(sent);
                }
            }
        }
    }

    // Guards against bodies that take several times the memory that was reserved for them while they grow.
    @Test
    void aBodyOfUnknownLengthTakesHardlyMoreThanItsBytes() {
        ReceivedBody body = inParts(bytes(300_000), 0, 10);
        assertThat(body.capacityWith(0)).isBetween(300_000, 300_000 + 64 * 1024);
        body.release();
    }

    // Guards against a body of 2.2 MB taking the 4 MB of a pool's piece.
    @Test
    void aBodyOfKnownLengthTakesJustItsBytes() {
        ReceivedBody body = new ReceivedBody(PooledByteBufAllocator.DEFAULT, 2_200_000);
        assertThat(body.capacityWith(0)).isEqualTo(2_200_000);
        ByteBuf whole = body.whole();
        assertThat(whole.capacity()).isEqualTo(2_200_000);
        whole.release();
    }

    @Test
    void theMemoryThatAPartNeedsIsStatedBeforeItIsAdded() {
        ReceivedBody body = new ReceivedBody(PooledByteBufAllocator.DEFAULT, 0);
        for (int i = 0; i < 5_000; i++) {
            int stated = body.capacityWith(37);
            body.add(Unpooled.wrappedBuffer(bytes(37)));
            assertThat(body.capacityWith(0)).isEqualTo(stated);
        }
        body.release();
    }
}
