package org.quetzalseam.cli.measure;

import static java.util.Map.entry;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.quetzalseam.cli.site.SiteOptions;

/** The policies that can be compared with each other, by name. Stateless. */
public final class Policies {
    private static final Map<String, Map<String, String>> SETTINGS = new TreeMap<>(Map.ofEntries(
            entry("default", Map.of()),
            entry("prefill-first", Map.of("booking", "after-prefill")),
            entry(
                    "plain",
                    Map.of(
                            "booking",
                            "after-prefill",
                            "queue",
                            "fifo",
                            "placement",
                            "round-robin",
                            "shedding",
                            "none")),
            entry("round-robin", Map.of("placement", "round-robin")),
            entry("two-choices", Map.of("placement", "two-choices")),
            entry("prefix-affinity", Map.of("placement", "prefix-affinity")),
            entry("fifo", Map.of("queue", "fifo")),
            entry("no-shedding", Map.of("shedding", "none")),
            entry("window-20", Map.of("long-window", "0.2")),
            entry("window-100", Map.of("long-window", "1")),
            entry("book-ahead-50", Map.of("book-ahead", "0.5")),
            entry("book-ahead-100", Map.of("book-ahead", "1"))));

    private Policies() {}

    /** Returns the names of all policies. */
    public static List<String> names() {
        return List.copyOf(SETTINGS.keySet());
    }

    /** Returns the options with the settings of the named policy added. */
    static SiteOptions with(SiteOptions options, String name) {
        Map<String, String> settings = SETTINGS.get(name);
        if (settings == null) {
            throw new IllegalArgumentException("policy: expected one of " + names() + ", got " + name);
        }
        SiteOptions changed = options;
        for (Map.Entry<String, String> setting : settings.entrySet()) {
            changed = changed.withPolicy(setting.getKey(), setting.getValue());
        }
        return changed;
    }
}
