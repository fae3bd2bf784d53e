package org.quetzalseam.daemon.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.ini.IniDocument;
import org.quetzalseam.core.ini.IniSection;
import org.quetzalseam.core.ini.Problem;
import org.quetzalseam.daemon.http.ServerLimits;
import org.quetzalseam.daemon.settings.Settings.Backend;
import org.quetzalseam.daemon.settings.Settings.BackendKind;
import org.quetzalseam.daemon.settings.Settings.BookingOrder;
import org.quetzalseam.daemon.settings.Settings.Listen;
import org.quetzalseam.daemon.settings.Settings.PlacementPolicy;
import org.quetzalseam.daemon.settings.Settings.Policy;
import org.quetzalseam.daemon.settings.Settings.QueueOrder;
import org.quetzalseam.daemon.settings.Settings.Security;
import org.quetzalseam.daemon.settings.Settings.Seed;
import org.quetzalseam.daemon.settings.Settings.Shedding;
import org.quetzalseam.daemon.settings.Settings.Timing;
import org.quetzalseam.wire.message.Role;

/**
 * Reads settings from INI text and reports all problems together. Stateless.
 *
 * <p>Example: {@code SettingsReader.read(Role.ENTRY, "entry.ini", text).settings()}.
 */
public final class SettingsReader {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_CONNECTIONS = 1_000_000;
    private static final int MAX_PLACES = 100_000;
    private static final int HOUR_SECONDS = 3_600;
    private static final int MINUTE_MILLIS = 60_000;
    private static final Set<String> SECTIONS =
            Set.of("process", "listen", "platform", "security", "backend", "policy", "timing");

    private SettingsReader() {}

    /**
     * The settings that were read, and all problems with them.
     *
     * @param settings the settings; only valid when there are no problems
     * @param problems all problems found
     */
    public record Result(Settings settings, List<Problem> problems) {}

    /** Reads the settings of a process in the given role. */
    public static Result read(Role role, String file, String text) {
        IniDocument document = new IniDocument(file, text);
        Sections sections = new Sections(document);
        IniSection process = sections.section("process");
        IniSection platform = sections.section("platform");
        Settings settings = new Settings(
                role,
                process.text("name"),
                process.text("zone"),
                listen(sections.section("listen")),
                platform.text("url"),
                seeds(platform),
                security(sections.section("security")),
                role == Role.ENDPOINT ? backend(sections.section("backend")) : noBackend(),
                policy(sections.section("policy")),
                timing(sections.section("timing")));
        sections.finish();
        return new Result(settings, document.problems());
    }

    /** Provides sections, empty ones for those that the file lacks, and finally reports sections and keys that were never read. */
    private static final class Sections {
        private final IniDocument document;
        private final Map<String, IniSection> present;
        private final List<IniSection> used = new ArrayList<>();

        Sections(IniDocument document) {
            this.document = document;
            this.present = document.sections();
        }

        IniSection section(String name) {
            IniSection section = present.get(name);
            IniSection given = section == null ? IniSection.empty(document, name) : section;
            used.add(given);
            return given;
        }

        void finish() {
            for (String name : present.keySet()) {
                if (used.stream().noneMatch(section -> section.name().equals(name))) {
                    document.report("[" + name + "]", "unknown section" + IniSection.suggestNearest(name, SECTIONS));
                }
            }
            used.forEach(IniSection::reportUnknownKeys);
        }
    }

    private static Listen listen(IniSection section) {
        return new Listen(
                section.text("host", "127.0.0.1"),
                section.integer("port", 0, 0, MAX_PORT),
                section.integer("operator-port", 0, 0, MAX_PORT),
                section.integer("connections", ServerLimits.defaultConnections(), 1, MAX_CONNECTIONS),
                section.integer("operator-connections", ServerLimits.OPERATOR_CONNECTIONS, 1, MAX_CONNECTIONS));
    }

    private static List<Seed> seeds(IniSection section) {
        List<Seed> seeds = new ArrayList<>();
        for (String seed : section.list("seeds")) {
            int colon = seed.lastIndexOf(':');
            try {
                seeds.add(new Seed(seed.substring(0, colon), Integer.parseInt(seed.substring(colon + 1))));
            } catch (IndexOutOfBoundsException | NumberFormatException e) {
                section.report("seeds", "expected addresses such as 10.0.0.7:7400, got '" + seed + "'");
            }
        }
        return seeds;
    }

    private static Security security(IniSection section) {
        Path keyStore = path(section, "key-store-file");
        Path password = path(section, "key-store-password-file");
        if ((keyStore == null) != (password == null)) {
            section.report("key-store-file", "expected together with key-store-password-file");
        }
        return new Security(path(section, "site-key-file"), keyStore, password);
    }

    private static @Nullable Path path(IniSection section, String key) {
        return section.optional(key).map(Path::of).orElse(null);
    }

    private static Backend noBackend() {
        return new Backend(BackendKind.SERVICE, "", 1, 0, false);
    }

    private static Backend backend(IniSection section) {
        section.text("kind");
        BackendKind kind = section.choice("kind", BackendKind.SERVICE);
        int places = section.integer("places", kind == BackendKind.PREFILL ? 2 : 20, 1, MAX_PLACES);
        int reserve = section.integer("short-reserve", Math.min(places - 1, Math.max(1, places / 10)), 0, MAX_PLACES);
        if (reserve >= places) {
            section.report("short-reserve", "expected less than places (" + places + "), got " + reserve);
        }
        return new Backend(kind, section.text("url"), places, reserve, section.flag("checks-orders", false));
    }

    private static Policy policy(IniSection section) {
        return new Policy(
                section.choice("placement", PlacementPolicy.LEAST_BACKLOG),
                section.choice("booking", BookingOrder.BEFORE_PREFILL),
                section.choice("queue", QueueOrder.FAIR),
                section.choice("shedding", Shedding.PREDICTED),
                share(section, "long-window", 0.1),
                share(section, "book-ahead", 0));
    }

    private static double share(IniSection section, String key, double fallback) {
        Optional<String> text = section.optional(key);
        if (text.isEmpty()) {
            return fallback;
        }
        try {
            double share = Double.parseDouble(text.get());
            if (share >= 0 && share <= 1) {
                return share;
            }
        } catch (NumberFormatException expected) {
            // Reported below with the message for a number out of bounds.
        }
        section.report(key, "expected a number from 0 to 1, got '" + text.get() + "'");
        return fallback;
    }

    private static Timing timing(IniSection section) {
        int heartbeat = section.integer("heartbeat-ms", 400, 10, MINUTE_MILLIS);
        int lease = section.integer("lease-ms", 1500, 20, MINUTE_MILLIS);
        if (lease < 2 * heartbeat) {
            section.report("lease-ms", "expected at least twice heartbeat-ms (" + heartbeat + "), got " + lease);
        }
        return new Timing(
                Duration.ofMillis(heartbeat),
                Duration.ofMillis(lease),
                Duration.ofMillis(section.integer("lame-duck-ms", 2000, 0, MINUTE_MILLIS)),
                Duration.ofSeconds(section.integer("drain-seconds", 120, 0, HOUR_SECONDS)),
                Duration.ofSeconds(section.integer("key-retention-seconds", 300, 1, HOUR_SECONDS)));
    }
}
