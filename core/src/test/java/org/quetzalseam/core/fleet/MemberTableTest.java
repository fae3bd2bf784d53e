package org.quetzalseam.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class MemberTableTest {
    private static final long GRACE_NANOS = 1_000;

    private final MemberTable table = new MemberTable();

    private static Member member(String id, boolean draining) {
        return member(id, 1, draining);
    }

    private static Member member(String id, long startMillis, boolean draining) {
        return new Member(id, startMillis, "s", "10.0.0.1", 80, "z", 4, draining, Stage.WHOLE, "v1");
    }

    @Test
    void aChangeOfAPreviousIncarnationDoesNotReplaceTheNewerOne() {
        table.put(member("a", 2, false));
        table.put(member("a", 1, true));
        assertThat(table.all()).containsExactly(member("a", 2, false));
    }

    @Test
    void aLateListingOfAPreviousIncarnationKeepsTheNewerOne() {
        table.put(member("a", 2, false));
        table.replaceAll(List.of(member("a", 1, false)), 0, 0);
        assertThat(table.all()).containsExactly(member("a", 2, false));
    }

    @Test
    void aPreviousIncarnationDoesNotRenewALapsedRegistration() {
        table.put(member("a", 2, false));
        table.remove("a", 0, GRACE_NANOS);
        table.put(member("a", 1, false));
        assertThat(table.expire(GRACE_NANOS)).containsExactly("a");
    }

    @Test
    void endpointsOfAPlatformWithoutStartTimesAreUsed() {
        table.replaceAll(List.of(member("a", Incarnation.UNKNOWN_START, false)), 0, 0);
        assertThat(table.all()).extracting(Member::id).containsExactly("a");
    }

    @Test
    void aRegistrationWithoutStartTimeIsIgnoredWhereHalfOfTheRegistrationsHaveOne() {
        Member other = member("x", Incarnation.UNKNOWN_START, false);
        table.replaceAll(List.of(other, member("a", 5, false)), 0, 0);
        table.put(other);
        assertThat(table.all()).extracting(Member::id).containsExactly("a");
    }

    @Test
    void aRegistrationThatLosesItsStartTimeIsIgnored() {
        table.put(member("a", 5, false));
        table.put(member("b", 5, false));
        table.put(member("a", Incarnation.UNKNOWN_START, false));
        assertThat(table.all()).containsExactly(member("b", 5, false));
        table.put(member("a", 5, false));
        assertThat(table.all()).hasSize(2);
    }

    @Test
    void aSingleRegistrationWithAStartTimeDoesNotHideThoseWithout() {
        table.replaceAll(
                List.of(
                        member("a", Incarnation.UNKNOWN_START, false),
                        member("b", Incarnation.UNKNOWN_START, false),
                        member("x", 7, false)),
                0,
                0);
        assertThat(table.all()).extracting(Member::id).contains("a", "b");
    }

    @Test
    void anEndpointThatWasDrainingIsReadyAfterItsRestart() {
        table.put(member("a", 1, true));
        table.put(member("a", 2, false));
        assertThat(table.all()).containsExactly(member("a", 2, false));
    }

    @Test
    void aMemberMissingInAListingIsRemovedAtOnce() {
        table.replaceAll(List.of(member("a", false), member("b", false)), 0, 0);
        table.replaceAll(List.of(member("b", false)), 1, 0);
        assertThat(table.all()).extracting(Member::id).containsExactly("b");
    }

    @Test
    void aRegistrationThatLapsedDuringAStoreOutageIsKeptForTheGracePeriod() {
        table.put(member("a", false));
        table.remove("a", 0, GRACE_NANOS);
        assertThat(table.expire(GRACE_NANOS - 1)).isEmpty();
        assertThat(table.all()).hasSize(1);
        assertThat(table.expire(GRACE_NANOS)).containsExactly("a");
        assertThat(table.all()).isEmpty();
    }

    @Test
    void aMemberThatRegistersAgainWithinTheGracePeriodStays() {
        table.put(member("a", false));
        table.remove("a", 0, GRACE_NANOS);
        table.put(member("a", false));
        assertThat(table.expire(10 * GRACE_NANOS)).isEmpty();
        assertThat(table.all()).hasSize(1);
    }

    @Test
    void aDrainingMemberIsRemovedAtOnceEvenAfterAStoreOutage() {
        table.put(member("a", true));
        table.remove("a", 0, GRACE_NANOS);
        assertThat(table.all()).isEmpty();
    }

    @Test
    void aSecondListingDoesNotExtendTheGracePeriod() {
        table.put(member("a", false));
        table.replaceAll(List.of(), 0, GRACE_NANOS);
        table.replaceAll(List.of(), GRACE_NANOS - 1, GRACE_NANOS);
        assertThat(table.expire(GRACE_NANOS)).containsExactly("a");
    }

    // Guards against a removal that is in force late because each one begins a grace period of its own.
    @Test
    void membersThatAreRemovedOneAfterTheOtherAreDroppedTogetherAtTheEndOfTheGracePeriod() {
        table.put(member("a", false));
        table.put(member("b", false));
        table.remove("a", 0, GRACE_NANOS);
        table.remove("b", 900, GRACE_NANOS - 900);
        assertThat(table.expire(GRACE_NANOS)).containsExactlyInAnyOrder("a", "b");
    }

    @Test
    void aMemberThatLeavesWithinTheGracePeriodIsRemovedAtOnce() {
        table.put(member("a", 1, false));
        table.remove("a", 0, GRACE_NANOS);
        table.put(member("a", 1, true));
        table.remove("a", 10, GRACE_NANOS - 10);
        assertThat(table.all()).isEmpty();
    }
}
