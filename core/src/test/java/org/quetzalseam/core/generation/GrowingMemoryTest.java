package org.quetzalseam.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * The load of a calm day at 16 decode engines that were booked to 94 %, while a quarter of their memory was free at any moment:
 * prompts of 5,000 tokens and answers of as many, 33 a second, each of which takes three seconds to grow from the one to both. Those
 * who find no room at any engine are refused.
 */
class GrowingMemoryTest {
    private static final int ENGINES = 16;
    private static final int ENGINE_TOKENS = 72_069;
    private static final int MAX_OUTPUT = 10_000;
    private static final double MILLIS_PER_TOKEN = 0.62;
    private static final double PER_SECOND = 33;
    private static final int STEP_MILLIS = 10;
    private static final int SECONDS = 120;

    private record Running(int prompt, int output, int booked, int begunAt) {
        int held(int now) {
            return prompt + (int) Math.min(output, (now - begunAt) / MILLIS_PER_TOKEN);
        }

        boolean ended(int now) {
            return now - begunAt >= output * MILLIS_PER_TOKEN;
        }
    }

    /** What came of a load: generations refused, and moments at which an engine's streams needed more than it has. */
    private record Result(int refused, int overflows, int moments) {}

    private static Result play(long engineTokens) {
        Random random = new Random(17);
        MemoryBooking booking = new MemoryBooking(0.7, 2.2, 16);
        booking.engineTokens(engineTokens);
        List<List<Running>> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new ArrayList<>());
        }
        int refused = 0;
        int overflows = 0;
        int moments = 0;
        for (int now = 0; now < SECONDS * 1_000; now += STEP_MILLIS) {
            int at = now;
            for (List<Running> engine : engines) {
                engine.removeIf(stream -> stream.ended(at));
                moments++;
                overflows += engine.stream().mapToInt(stream -> stream.held(at)).sum() > ENGINE_TOKENS ? 1 : 0;
            }
            if (random.nextDouble() < PER_SECOND * STEP_MILLIS / 1_000) {
                refused += admit(booking, engines, random, now) ? 0 : 1;
            }
        }
        return new Result(refused, overflows, moments);
    }

    private static boolean admit(MemoryBooking booking, List<List<Running>> engines, Random random, int now) {
        int prompt = (int) Math.min(11_000, 4_500 * Math.exp(0.5 * random.nextGaussian()));
        int output = (int) Math.min(MAX_OUTPUT, 4_800 * Math.exp(0.5 * random.nextGaussian()));
        int estimate = (int) Math.min(MAX_OUTPUT, output * Math.exp(0.5 * random.nextGaussian()));
        TokenDemand demand = new TokenDemand(prompt, MAX_OUTPUT, estimate);
        int tokens = booking.tokens(demand);
        for (List<Running> engine : engines) {
            int taken = engine.stream()
                    .mapToInt(stream -> Math.max(stream.booked(), stream.held(now)))
                    .sum();
            if (taken + tokens + booking.room(demand) <= ENGINE_TOKENS) {
                engine.add(new Running(prompt, output, tokens, now));
                booking.ended(demand, output);
                return true;
            }
        }
        return false;
    }

    @Test
    void streamsThatDoNotEndTogetherShareTheMemoryThatTheyNeedAtTheirEnds() {
        Result upToTheEnd = play(0);
        Result growing = play(ENGINE_TOKENS);
        assertThat(growing.refused()).as("of those refused before").isLessThan(upToTheEnd.refused() / 2);
        assertThat(growing.overflows())
                .as("moments at which an engine has to put a stream back, of %d", growing.moments())
                .isLessThan(growing.moments() / 100);
    }

    @Test
    void aGenerationThatFillsAnEngineIsBookedUpToItsEnd() {
        MemoryBooking booking = new MemoryBooking(0.7, 2.2, 16);
        TokenDemand demand = new TokenDemand(4_000, 4_000, 4_000);
        int whole = booking.tokens(demand);
        booking.engineTokens(whole);
        assertThat(booking.tokens(demand)).isEqualTo(whole);
        booking.engineTokens(100L * whole);
        assertThat(booking.tokens(demand)).isBetween(whole / 2, whole - 1_000);
    }
}
