package org.quetzalseam.cli.site;

import java.util.Map;
import java.util.TreeMap;

/**
 * Options of a site. Immutable. Start from {@link #defaults()}.
 *
 * @param speed factor by which engines are faster, and targets shorter, than real ones
 * @param proxied whether connections between processes go through proxies that can inject network faults
 * @param policy settings of the section {@code [policy]}
 * @param timing settings of the section {@code [timing]}
 */
public record SiteOptions(double speed, boolean proxied, Map<String, String> policy, Map<String, String> timing) {
    /** Copies the maps. */
    public SiteOptions {
        policy = Map.copyOf(policy);
        timing = Map.copyOf(timing);
    }

    /** Returns the options for real speed, no proxies and default settings. */
    public static SiteOptions defaults() {
        return new SiteOptions(1, false, Map.of(), Map.of());
    }

    /** Returns these options with the given speed. */
    public SiteOptions withSpeed(double factor) {
        return new SiteOptions(factor, proxied, policy, timing);
    }

    /** Returns these options with proxies between the processes. */
    public SiteOptions withProxies() {
        return new SiteOptions(speed, true, policy, timing);
    }

    /** Returns these options with one more setting of the section {@code [policy]}. */
    public SiteOptions withPolicy(String key, String value) {
        return new SiteOptions(speed, proxied, with(policy, key, value), timing);
    }

    /** Returns these options with one more setting of the section {@code [timing]}. */
    public SiteOptions withTiming(String key, String value) {
        return new SiteOptions(speed, proxied, policy, with(timing, key, value));
    }

    private static Map<String, String> with(Map<String, String> map, String key, String value) {
        Map<String, String> changed = new TreeMap<>(map);
        changed.put(key, value);
        return changed;
    }
}
