package org.quetzalseam.core.access;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.access.AccessRules.Grant;
import org.quetzalseam.core.generation.TokenDemand;

class AccessRulesTest {
    private static final Team DEALERS = new Team("dealers", Allowance.UNLIMITED);
    private static final Team CLERKS = new Team("clerks", Allowance.UNLIMITED);

    @Test
    void aKeyBelongsToOneTeam() {
        AccessRules rules =
                AccessRules.of(List.of(new Grant(DEALERS, List.of("a", "b")), new Grant(CLERKS, List.of("c"))));
        assertThat(rules.teamOf("b")).contains(DEALERS);
        assertThat(rules.teamOf("c")).contains(CLERKS);
        assertThat(rules.teamOf("d")).isEmpty();
        assertThat(rules.required()).isTrue();
    }

    @Test
    void aSiteWithTeamsNeedsKeysEvenIfNoTeamHasOne() {
        assertThat(AccessRules.of(List.of()).required()).isTrue();
        assertThat(AccessRules.OPEN.required()).isFalse();
    }

    @Test
    void aKeyOfTwoTeamsAndABlankNameAreRejectedWithoutQuotingTheKey() {
        List<Grant> shared = List.of(new Grant(DEALERS, List.of("secret")), new Grant(CLERKS, List.of("secret")));
        assertThatThrownBy(() -> AccessRules.of(shared))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("clerks")
                .hasMessageNotContaining("secret");
        List<Grant> unnamed = List.of(new Grant(new Team(" ", Allowance.UNLIMITED), List.of()));
        assertThatThrownBy(() -> AccessRules.of(unnamed)).isInstanceOf(IllegalArgumentException.class);
        assertThat(shared.toString()).doesNotContain("secret");
    }

    @Test
    void aGenerationCountsItsTokensAndAnyOtherRequestAFixedNumber() {
        Allowance tokens = new Allowance(Allowance.Unit.TOKENS, 1, 1, 200);
        assertThat(tokens.cost(new TokenDemand(3_000, 70, 40))).isEqualTo(3_070);
        assertThat(tokens.cost(null)).isEqualTo(200);
        assertThat(new Allowance(Allowance.Unit.REQUESTS, 1, 1, 1).cost(new TokenDemand(3_000, 70, 40)))
                .isEqualTo(1);
    }
}
