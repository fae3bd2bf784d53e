package org.quetzalseam.core.access;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class AllowanceShareTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final AllowanceBounds BOUNDS = new AllowanceBounds(8, 0, 2_000);
    private static final Allowance ALLOWANCE = new Allowance(Allowance.Unit.TOKENS, 1_000, 1_000, 1);

    private static AllowanceShare share(double part) {
        AllowanceShare share = new AllowanceShare(BOUNDS, 0);
        share.update(ALLOWANCE, part, 0);
        return share;
    }

    @Test
    void aShareBeginsEmptyAndAccruesItsPartOfTheAllowance() {
        AllowanceShare share = share(0.25);
        assertThat(share.take(1, 0)).isFalse();
        assertThat(share.available(SECOND)).isEqualTo(250);
        assertThat(share.take(250, SECOND)).isTrue();
        assertThat(share.take(1, SECOND)).isFalse();
    }

    @Test
    void allSharesTogetherSaveUpTheBurstAndMostOfTheSlackButNoMore() {
        AllowanceShare share = share(1);
        double saved = share.available(1_000 * SECOND);
        assertThat(saved).isGreaterThan(1_000);
        assertThat(saved + 1_000 * (8 + AllowanceBounds.LOAN_SECONDS)).isLessThanOrEqualTo(BOUNDS.most(ALLOWANCE));
    }

    @Test
    void unitsThatAreLentLeaveTheLender() {
        AllowanceShare lender = share(0.5);
        assertThat(lender.lend(300, SECOND)).isEqualTo(300);
        assertThat(lender.lend(300, SECOND)).isEqualTo(200);
        assertThat(lender.available(SECOND)).isZero();
    }

    @Test
    void anEntryThatUsesATeamsUnitsKeepsSomeBack() {
        AllowanceShare lender = share(1);
        lender.take(1, SECOND);
        long lent = lender.lend(Long.MAX_VALUE, SECOND);
        assertThat(lent).isPositive();
        assertThat(lender.available(SECOND)).isPositive();
    }

    @Test
    void aLoanThatIsNotUsedSoonIsLost() {
        AllowanceShare borrower = share(0);
        borrower.borrow(100, 0, 0);
        assertThat(borrower.available(0)).isEqualTo(100);
        assertThat(borrower.available(SECOND)).isZero();
    }

    // Guards against units that another entry gave away long ago, while the connection or this process stood still,
    // being
    // used beside those that have accrued there since.
    @Test
    void aLoanCountsFromTheTimeAtWhichItWasAskedFor() {
        AllowanceShare borrower = share(0);
        borrower.borrow(100, 0, SECOND);
        assertThat(borrower.available(SECOND)).isZero();
    }

    @Test
    void loansThatNoRequestUsesAreSavedUpWithinTheShare() {
        AllowanceShare borrower = share(0.5);
        borrower.borrow(100, 0, 0);
        borrower.saveLoans(0);
        assertThat(borrower.lend(100, 0)).isEqualTo(100);
    }

    @Test
    void unitsOfARequestThatHasNotRunAreGivenBack() {
        AllowanceShare share = share(0.5);
        assertThat(share.take(500, SECOND)).isTrue();
        share.giveBack(500, SECOND);
        assertThat(share.available(SECOND)).isEqualTo(500);
    }

    @Test
    void aLowerLimitTakesAwayWhatWasSavedUpForTheHigherOne() {
        AllowanceShare share = share(1);
        share.available(10 * SECOND);
        Allowance lower = new Allowance(Allowance.Unit.TOKENS, 10, 10, 1);
        share.update(lower, 1, 10 * SECOND);
        assertThat(share.available(10 * SECOND)).isLessThanOrEqualTo(BOUNDS.most(lower));
    }
}
