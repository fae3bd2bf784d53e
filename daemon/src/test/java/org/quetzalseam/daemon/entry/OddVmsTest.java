package org.quetzalseam.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quetzalseam.core.catalogue.CatalogueInForce;
import org.quetzalseam.daemon.platform.HttpObjectStore;
import org.quetzalseam.daemon.platform.MemberList;
import org.quetzalseam.standins.PlatformStandIn;
import org.quetzalseam.standins.PlatformStandIn.ListedVm;
import org.quetzalseam.wire.message.Vm;

/** Tests an entry whose list of VMs has an item that the platform can't have written. */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class OddVmsTest {
    private static final Logger LOG = Logger.getLogger("org.quetzalseam");
    private static final String VALID = "{\"name\":\"odd\",\"role\":\"endpoint\",\"zone\":\"z\",\"pool\":\"p\","
            + "\"host\":\"127.0.0.1\",\"port\":1,\"operatorPort\":1,\"state\":\"live\"}";
    private static final String DEEP = "[".repeat(100_000) + "]".repeat(100_000);
    private static final String DEEP_OBJECTS = "{\"a\":".repeat(100_000) + "1" + "}".repeat(100_000);
    private static final String DEEP_MIXED = "[{\"a\":".repeat(50_000) + "1" + "}]".repeat(50_000);
    private static final String DIGITS = "9".repeat(100_000);
    /** Values that no field of a VM may have. */
    private static final List<String> ODD = List.of(
            DEEP,
            DEEP_OBJECTS,
            DEEP_MIXED,
            DIGITS,
            "-" + DIGITS,
            "0." + DIGITS,
            "1e999999999",
            "-1e999999999",
            "1e30",
            "1e-999999999",
            "-1",
            "null",
            "true",
            "{}",
            "[]",
            "nonsense",
            "\"\\ud800\"",
            "\"\\u0000\"",
            "\"\u00ff\u00fe\"",
            "\"" + "x".repeat(100_000) + "\"");

    private static final List<String> TEXTS = List.of("name", "role", "zone", "pool", "host", "state");
    private static final List<String> ODD_PORTS = List.of("0", "65536", "70000", "99999999999", "1.5", "\"1\"");
    private static final List<String> ODD_HOSTS =
            List.of("\"\"", "\" \"", "\"10.0.0.1 x\"", "\"a.example\"", "\"[::1\"");

    private final PlatformStandIn platform = new PlatformStandIn();
    private final List<String> logged = new CopyOnWriteArrayList<>();
    private final Handler logHandler = new Handler() {
        @Override
        public void publish(LogRecord line) {
            logged.add(line.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };
    private volatile List<String> followed = List.of();
    private final SiteSync site = new SiteSync(new CatalogueInForce(), this::follow);
    private final MemberWatch watch = new MemberWatch(new HttpObjectStore(platform.url()), site, "test");

    private void follow(MemberList members) {
        followed = members.vms().stream().map(Vm::name).toList();
    }

    @AfterEach
    void stop() {
        LOG.removeHandler(logHandler);
        watch.stop();
        platform.stop();
    }

    private void list(String name) {
        platform.list(new ListedVm(name, "endpoint", "z", "p", 1, 1, false));
    }

    private void listOdd(String item) {
        platform.listRaw("odd", item.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns items with one odd field each. */
    private static List<String> oddItems() {
        List<String> items = new ArrayList<>(ODD);
        for (String field : TEXTS) {
            ODD.forEach(value -> items.add(with(field, value)));
        }
        for (String field : List.of("port", "operatorPort")) {
            ODD.forEach(value -> items.add(with(field, value)));
            ODD_PORTS.forEach(value -> items.add(with(field, value)));
        }
        ODD_HOSTS.forEach(value -> items.add(with("host", value)));
        items.add(with("name", "\"\""));
        items.add(with("role", "\"guest\""));
        return items;
    }

    private static String with(String field, String value) {
        return VALID.replaceFirst("\"" + field + "\":(\"[^\"]*\"|1)", "\"" + field + "\":" + "VALUE")
                .replace("VALUE", value);
    }

    private static boolean within(BooleanSupplier condition) {
        long end = System.nanoTime() + Duration.ofSeconds(3).toNanos();
        while (!condition.getAsBoolean() && System.nanoTime() - end < 0) {
            LockSupport.parkNanos(1_000_000);
        }
        return condition.getAsBoolean();
    }

    // Guards against an item that hides the rest of its list, that is used, or that takes long to read.
    @Test
    void anOddItemIsLeftAsideAndTheOthersAreRead() {
        list("before");
        List<String> faults = new ArrayList<>();
        for (String item : oddItems()) {
            listOdd(item);
            list("after");
            String shown = item.substring(0, Math.min(150, item.length()));
            try {
                long begun = System.nanoTime();
                List<String> names = new HttpObjectStore(platform.url())
                        .members(0, Duration.ZERO).vms().stream().map(Vm::name).toList();
                if (!names.equals(List.of("before", "after"))) {
                    faults.add(names + " with " + shown);
                }
                if (System.nanoTime() - begun > Duration.ofSeconds(2).toNanos()) {
                    faults.add("slow with " + shown);
                }
            } catch (RuntimeException e) {
                faults.add(e.getClass().getSimpleName() + " with " + shown);
            }
        }
        assertThat(faults).as(faults.size() + " of " + oddItems().size()).isEmpty();
    }

    // Guards against an item that ends the watch of the list, or is logged at each poll.
    @Test
    void anOddItemAtStartAndLaterLeavesTheWatchRunningAndIsLoggedOnce() {
        LOG.addHandler(logHandler);
        listOdd(with("zone", DEEP));
        list("first");
        watch.start();
        assertThat(within(() -> followed.equals(List.of("first"))))
                .as("at start")
                .isTrue();
        for (String value : List.of(DIGITS, DEEP_OBJECTS, "70000")) {
            listOdd(with("port", value));
            list("next-" + value.length());
            assertThat(within(() -> followed.contains("next-" + value.length())))
                    .as(value.substring(0, 5))
                    .isTrue();
        }
        for (int i = 0; i < 5; i++) {
            list("more-" + i);
        }
        assertThat(within(() -> followed.contains("more-4"))).isTrue();
        assertThat(followed).doesNotContain("odd");
        assertThat(logged.stream().filter(line -> line.startsWith("event=object-unreadable")))
                .as("one line for each fault: a missing zone, a missing port, and one out of range")
                .hasSize(3);
    }
}
