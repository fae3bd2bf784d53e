package org.quetzalseam.standins.raw;

import java.io.IOException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Sends the last answer of a connection again, whole or cut at any byte, before the next one. */
public final class RepeatedAnswers {
    /** One answer in this many is repeated before the next request, and one in this many after it. */
    private static final int ONE_IN = 3;
    /** One copy in this many is whole. */
    private static final int WHOLE_ONE_IN = 6;
    /** Bytes within which half of the other copies are cut: the status line, and most of a head. */
    private static final int[] HEAD_BYTES = {18, 100};
    /** Longest pause before and after a copy, in milliseconds. */
    private static final int LONGEST_PAUSE_MILLIS = 5;

    private RepeatedAnswers() {}

    /** Repeats the last answer, or doesn't. */
    public static void repeat(RawConnection connection) throws IOException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        int length = connection.lastAnswerLength();
        if (length > 0 && random.nextInt(ONE_IN) == 0) {
            pause(random);
            connection.repeat(bytes(length, random));
            pause(random);
        }
    }

    private static int bytes(int length, ThreadLocalRandom random) {
        if (random.nextInt(WHOLE_ONE_IN) == 0) {
            return length;
        }
        int most = random.nextBoolean() ? HEAD_BYTES[random.nextInt(HEAD_BYTES.length)] : length;
        return 1 + random.nextInt(Math.min(most, length));
    }

    /** Waits, half of the time not at all. */
    private static void pause(ThreadLocalRandom random) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(random.nextBoolean() ? random.nextInt(1 + LONGEST_PAUSE_MILLIS) : 0);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("stopped", e);
        }
    }
}
