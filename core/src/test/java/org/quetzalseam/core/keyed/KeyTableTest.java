package org.quetzalseam.core.keyed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.keyed.KeyTable.Claim;

class KeyTableTest {
    private final KeyTable<String> keys = new KeyTable<>(100);
    private final List<String> answers = new ArrayList<>();

    private Claim claim(String key, String fingerprint) {
        return keys.claim(key, fingerprint, answers::add, 0);
    }

    @Test
    void aSecondRequestWithTheKeyWaitsForTheFirstOnesAnswer() {
        assertThat(claim("k", "f")).isEqualTo(Claim.OWNED);
        assertThat(claim("k", "f")).isEqualTo(Claim.ATTACHED);
        assertThat(answers).isEmpty();
        keys.finish("k", "answer", 1);
        assertThat(answers).containsExactly("answer");
    }

    @Test
    void aLaterRequestWithTheKeyReceivesTheAnswerAgain() {
        claim("k", "f");
        keys.finish("k", "answer", 1);
        assertThat(claim("k", "f")).isEqualTo(Claim.ATTACHED);
        assertThat(answers).containsExactly("answer");
    }

    @Test
    void aKeyIsNotUsedForTwoDifferentRequests() {
        claim("k", "f");
        assertThat(claim("k", "other")).isEqualTo(Claim.MISMATCH);
    }

    @Test
    void aFencedKeyCannotBeClaimed() {
        assertThat(keys.fence("k", 0)).isTrue();
        assertThat(claim("k", "f")).isEqualTo(Claim.FENCED);
        assertThat(keys.fence("k", 0)).isTrue();
    }

    @Test
    void aKeyThatWasClaimedIsReportedInsteadOfFenced() {
        claim("k", "f");
        assertThat(keys.fence("k", 0)).isFalse();
        assertThat(claim("k", "f")).isEqualTo(Claim.ATTACHED);
    }

    @Test
    void aKeyWhoseRequestDidNotRunMayBeClaimedAgain() {
        claim("k", "f");
        claim("k", "f");
        keys.release("k", "refused", 1);
        assertThat(answers).containsExactly("refused");
        assertThat(claim("k", "f")).isEqualTo(Claim.OWNED);
    }

    @Test
    void aKeyWhoseRequestStillRunsIsNeverForgotten() {
        claim("running", "f");
        claim("done", "f");
        keys.finish("done", "answer", 0);
        keys.purge(1000);
        assertThat(keys.isKnown("running")).isTrue();
        assertThat(keys.isKnown("done")).isFalse();
    }

    @Test
    void onlyUuidsOfVersionSevenHaveACreationTime() {
        assertThat(KeyTimestamp.mintedAtMillis("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"))
                .hasValue(1645557742000L);
        assertThat(KeyTimestamp.mintedAtMillis("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"))
                .isEmpty();
        assertThat(KeyTimestamp.mintedAtMillis("deposit-17")).isEmpty();
    }
}
