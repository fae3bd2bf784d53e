package org.quetzalseam.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.quetzalseam.core.store.StorePosition;

class OrderEpochTest {
    private static final long MAX_REVISION = 1L << 39;
    private static final long MAX_ERA = (1L << 13) - 1;

    @Property
    void anEpochOfALaterPositionIsHigher(
            @ForAll @LongRange(min = 0, max = MAX_ERA) long era,
            @ForAll @LongRange(min = 0, max = MAX_REVISION) long revision,
            @ForAll @LongRange(min = 0, max = MAX_ERA) long otherEra,
            @ForAll @LongRange(min = 0, max = MAX_REVISION) long otherRevision) {
        StorePosition one = new StorePosition(era, revision);
        StorePosition other = new StorePosition(otherEra, otherRevision);
        assertThat(OrderEpoch.after(one) < OrderEpoch.after(other)).isEqualTo(one.isBefore(other));
        assertThat(OrderEpoch.after(one)).isLessThanOrEqualTo(OrderEpoch.MAX);
        assertThat(OrderEpoch.era(OrderEpoch.after(one))).isEqualTo(era);
    }

    @Property
    void onlyErasThatEpochsCanTellApartAreExpressible(@ForAll long era) {
        assertThat(OrderEpoch.expressible(era)).isEqualTo(era >= 0 && era <= MAX_ERA);
    }
}
