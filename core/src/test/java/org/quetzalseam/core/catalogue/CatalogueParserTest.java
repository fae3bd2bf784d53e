package org.quetzalseam.core.catalogue;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.catalogue.CatalogueInForce.Accepted;
import org.quetzalseam.core.catalogue.CatalogueParser.Parsed;
import org.quetzalseam.core.ini.Problem;

class CatalogueParserTest {
    private static final String SITE = """
            [model m]
            prefill-pool = p
            decode-pool = d
            [service s]
            pool = s
            [owner o]
            """;
    private static final String ENTRY = """
            [entry e]
            owner = o
            class = long
            route = model m
            idempotent = true
            """;

    private static Parsed parse(String text) {
        return CatalogueParser.parse(Map.of("a.ini", text));
    }

    @Test
    void aValidCatalogueIsReadWithItsDefaults() {
        Parsed parsed = parse(SITE + ENTRY);
        assertThat(parsed.problems()).isEmpty();
        EntrySpec entry = parsed.catalogue().modelEntry("o", "m", 1).orElseThrow();
        assertThat(entry.targets().firstOutputMillis()).isEqualTo(1300);
        assertThat(entry.limits().queueWaitMillis()).isEqualTo(1300);
    }

    @Test
    void everyProblemIsReportedAtOnceWithItsLocationAndWhatWasExpected() {
        Parsed parsed = parse(SITE + ENTRY.replace("owner = o", "owner = oo").replace("long", "slow") + "clas = x\n");
        assertThat(parsed.problems())
                .extracting(Problem::toString)
                .anySatisfy(problem -> assertThat(problem).contains("a.ini", "[entry e] owner", "did you mean 'o'"))
                .anySatisfy(problem -> assertThat(problem).contains("[entry e] class", "short, long"))
                .anySatisfy(problem -> assertThat(problem).contains("clas", "did you mean 'class'"));
    }

    @Test
    void twoFilesMayNotDefineTheSameEntry() {
        Parsed parsed = CatalogueParser.parse(Map.of("a.ini", SITE + ENTRY, "b.ini", ENTRY));
        assertThat(parsed.problems()).extracting(Problem::file).containsExactly("b.ini");
    }

    @Test
    void aTokenBelongsToOneOwnerOnly() {
        String digest = "token-sha256 = " + "ab".repeat(32) + "\n";
        Parsed parsed = parse("[owner a]\n" + digest + "[owner b]\n" + digest);
        assertThat(parsed.valid()).isFalse();
    }

    @Test
    void aPromptIsAdmittedByTheEntryThatFitsItClosest() {
        String small = ENTRY.replace("[entry e]", "[entry small]") + "max-prompt-tokens = 100\n";
        Catalogue catalogue = parse(SITE + ENTRY + small).catalogue();
        assertThat(catalogue.modelEntry("o", "m", 50))
                .get()
                .extracting(EntrySpec::name)
                .isEqualTo("small");
        assertThat(catalogue.modelEntry("o", "m", 500))
                .get()
                .extracting(EntrySpec::name)
                .isEqualTo("e");
        assertThat(catalogue.modelEntry("other", "m", 50)).isEmpty();
    }

    @Property(seed = "7", tries = 300)
    void theParserNeverThrowsForAnyText(@ForAll String text) {
        assertThat(parse("[entry x]\n" + text).problems()).isNotNull();
    }

    @Test
    void anOlderVersionIsNeverPutInForce() {
        CatalogueInForce inForce = new CatalogueInForce();
        assertThat(inForce.offer(accepted(3))).isTrue();
        assertThat(inForce.offer(accepted(2))).isFalse();
        assertThat(inForce.offer(accepted(3))).isFalse();
        assertThat(inForce.version()).isEqualTo(3);
    }

    private static Accepted accepted(long version) {
        return new Accepted(new Manifest(version, 1, "a", Map.of()), Map.of(), Catalogue.empty());
    }
}
