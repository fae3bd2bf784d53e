package org.quetzalseam.core.generation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Tests booking under a burst that fills every engine, of generations whose lengths are not known beforehand. Lengths
 * and estimates are each spread by a factor of e^0.5, as measured on answers of two deployments.
 */
class MemoryBookingTest {
    private static final int BLOCK = 16;
    private static final int MAX_OUTPUT = 10_000;
    private static final int ENGINE_TOKENS = 98_000;

    private final Random random = new Random(11);

    private record Drawn(TokenDemand demand, int output) {}

    private Drawn draw() {
        int output = (int) Math.min(MAX_OUTPUT, 4_800 * Math.exp(0.5 * random.nextGaussian()));
        int estimate = (int) Math.min(MAX_OUTPUT, output * Math.exp(0.5 * random.nextGaussian()));
        int prompt = (int) Math.min(11_000, 4_500 * Math.exp(0.5 * random.nextGaussian()));
        return new Drawn(new TokenDemand(prompt, MAX_OUTPUT, estimate), output);
    }

    private MemoryBooking trained(double booked, double admitted) {
        MemoryBooking booking = new MemoryBooking(booked, admitted, BLOCK);
        for (int i = 0; i < 1_000; i++) {
            Drawn drawn = draw();
            booking.recordLength(drawn.demand(), drawn.output() / 77.0);
        }
        return booking;
    }

    /** Fills engines as in a burst, and returns how many generations run and in how many engines memory runs out. */
    private int[] fill(MemoryBooking booking, int engines) {
        int running = 0;
        int overflowing = 0;
        for (int engine = 0; engine < engines; engine++) {
            int booked = 0;
            int needed = 0;
            List<Drawn> admitted = new ArrayList<>();
            Drawn next = draw();
            while (booked + booking.bookedTokens(next.demand()) + booking.headroomTokens(next.demand())
                    <= ENGINE_TOKENS) {
                booked += booking.bookedTokens(next.demand());
                admitted.add(next);
                needed += next.demand().prompt() + next.output();
                next = draw();
            }
            running += admitted.size();
            overflowing += needed > ENGINE_TOKENS ? 1 : 0;
        }
        return new int[] {running, overflowing};
    }

    @Test
    void twoSizesLetMoreRunThanOneThatIsAsSafe() {
        int engines = 2_000;
        int[] oneSize = fill(trained(1.8, 1.8), engines);
        int[] twoSizes = fill(trained(0.7, 2.2), engines);
        assertThat(twoSizes[0]).as("running").isGreaterThan((int) (1.05 * oneSize[0]));
        assertThat(twoSizes[1])
                .as("engines whose memory would run out if all ended at once")
                .isLessThan(engines / 10);
    }

    @Test
    void bookingTheEstimateAloneLetsMemoryRunOut() {
        int engines = 500;
        assertThat(fill(trained(0.01, 0.02), engines)[1]).isGreaterThan(engines / 10);
    }

    @Test
    void noMoreIsBookedThanTheGenerationMayMake() {
        MemoryBooking booking = new MemoryBooking(3, 4, BLOCK);
        TokenDemand demand = new TokenDemand(100, 80, 80);
        assertThat(booking.bookedTokens(demand)).isEqualTo(192);
        assertThat(booking.headroomTokens(demand)).isZero();
    }

    @Test
    void shorterPromptsAndOutputsCostLess() {
        MemoryBooking booking = trained(0.7, 2.2);
        double small = booking.expectedCost(new TokenDemand(1_000, MAX_OUTPUT, 1_000));
        assertThat(small).isLessThan(booking.expectedCost(new TokenDemand(9_000, MAX_OUTPUT, 1_000)));
        assertThat(small).isLessThan(booking.expectedCost(new TokenDemand(1_000, MAX_OUTPUT, 9_000)));
    }

    @Test
    void fewerAdmittedThanBookedDeviationsAreRejected() {
        assertThatThrownBy(() -> new MemoryBooking(2, 1, BLOCK)).hasMessageContaining("admitted deviations");
    }
}
