package org.quetzalseam.daemon.catalogue;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quetzalseam.core.catalogue.CatalogueInForce;
import org.quetzalseam.core.catalogue.Manifest;
import org.quetzalseam.daemon.platform.HttpObjectStore;
import org.quetzalseam.standins.PlatformStandIn;

/** Tests catalogue objects that another writer has spoilt. */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class OddCatalogueObjectsTest {
    private static final String DIGITS = "9".repeat(100_000);
    private static final String NO_DIGEST = "../ \\u0000";

    private final PlatformStandIn platform = new PlatformStandIn();
    private final HttpObjectStore objects = new HttpObjectStore(platform.url());
    private final CatalogueStore store = new CatalogueStore(objects);
    private final CatalogueInForce inForce = new CatalogueInForce();
    private final CatalogueWatch watch = new CatalogueWatch(store, inForce, "test");
    private final ProposalReview review = new ProposalReview(store, 0, "test");

    @AfterEach
    void stop() {
        watch.stop();
        review.stop();
        platform.stop();
    }

    private static String manifest(String version, String author, String files) {
        return "{\"version\":" + version + ",\"writer\":1,\"author\":" + author + ",\"files\":" + files + "}";
    }

    /** Returns contents of an object, as the store holds them, that are no manifest, some of them of the given version. */
    private static List<String> odd(long version) {
        List<String> contents = new ArrayList<>(List.of("?", "A", ""));
        List.of(
                        "[".repeat(100_000) + "]".repeat(100_000),
                        "{\"a\":".repeat(100_000) + "1" + "}".repeat(100_000),
                        "[".repeat(100_000),
                        "null",
                        "\"x\"",
                        "\"\\ud800",
                        manifest(DIGITS, "\"a\"", "{}"),
                        manifest("1e999999999", "\"a\"", "{}"),
                        manifest("-1", "\"a\"", "{}"),
                        manifest("" + version, "\"a\"", "null"),
                        manifest("" + version, "\"a\"", "{\"f\":null}"),
                        manifest("" + version, "\"a\"", "{\"f\":\"" + NO_DIGEST + "\"}"),
                        manifest("" + version, "null", "{}"))
                .forEach(text ->
                        contents.add(Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8))));
        return contents;
    }

    private static boolean within(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (!condition.getAsBoolean() && System.nanoTime() - end < 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
        return condition.getAsBoolean();
    }

    private static String shown(String text) {
        return text.substring(0, Math.min(60, text.length()));
    }

    // Guards against a spoilt proposal or verdict after which no change of the catalogue can be proposed or reviewed.
    @Test
    void aChangeIsProposedAndAcceptedAfterASpoiltProposalAndVerdict() {
        review.start();
        List<String> faults = new ArrayList<>();
        for (int i = 0; i < odd(0).size(); i++) {
            long base = store.accepted().value().version();
            String content = odd(base + 1).get(i);
            platform.overwrite("verdict", content);
            platform.overwrite(CatalogueStore.PROPOSAL, content);
            try {
                Manifest proposed = store.propose(Map.of(), base, "operator");
                if (!within(() -> store.accepted().value().version() == proposed.version())) {
                    faults.add("not accepted after " + shown(content));
                }
            } catch (RuntimeException e) {
                faults.add(e.getClass().getSimpleName() + " after " + shown(content));
            }
        }
        assertThat(faults).as(faults.size() + " of " + odd(0).size()).isEmpty();
    }

    // Guards against a spoilt manifest that ends the watch, or replaces the catalogue in force.
    @Test
    void theWatchTakesUpTheNextManifestAfterASpoiltOne() {
        watch.start();
        for (String content : odd(1)) {
            platform.overwrite(CatalogueStore.ACCEPTED, content);
            assertThatThrownBy(store::accepted).as(shown(content)).isInstanceOf(CatalogueException.class);
            assertThat(inForce.version()).as(shown(content)).isZero();
        }
        Manifest next = new Manifest(1, 7, "operator", Map.of());
        store.accept(next, objects.read(CatalogueStore.ACCEPTED).orElseThrow().version());
        assertThat(within(() -> inForce.version() == 1)).isTrue();
    }

    // Guards against an object whose data can't be decoded raising what its readers don't handle.
    @Test
    void anObjectWhoseDataIsNotBase64IsReadWithItsVersion() {
        platform.overwrite("any", "?");
        assertThatCode(() -> objects.read("any").orElseThrow()).doesNotThrowAnyException();
        assertThat(objects.read("any").orElseThrow().version()).isPositive();
    }
}
