package org.quetzalseam.cli.site;

import java.util.Map;
import java.util.TreeMap;

/**
 * Options of a site. Immutable. Start from {@link #defaults()}.
 *
 * @param speed factor by which engines are faster, and targets shorter, than real ones
 * @param proxied whether connections between processes go through proxies that can inject network faults
 * @param repeatedAnswers whether services send answers again, whole or cut
 * @param policy settings of the section {@code [policy]}
 * @param timing settings of the section {@code [timing]}
 */
public record SiteOptions(
        double speed,
        boolean proxied,
        boolean repeatedAnswers,
        Map<String, String> policy,
        Map<String, String> timing) {
    /** Copies the maps. */
    public SiteOptions {
        policy = Map.copyOf(policy);
        timing = Map.copyOf(timing);
    }

    /** Returns the options for real speed, no proxies and default settings. */
    public static SiteOptions defaults() {
        return new SiteOptions(1, false, false, Map.of(), Map.of());
    }

    /** Returns these options with the given speed. */
    public SiteOptions withSpeed(double factor) {
        return new SiteOptions(factor, proxied, repeatedAnswers, policy, timing);
    }

    /** Returns these options with proxies between the processes. */
    public SiteOptions withProxies() {
        return new SiteOptions(speed, true, repeatedAnswers, policy, timing);
    }

    /** Returns these options with services that send answers again, or don't. */
    public SiteOptions withRepeatedAnswers(boolean repeated) {
        return new SiteOptions(speed, proxied, repeated, policy, timing);
    }

    /** Returns these options with one more setting of the section {@code [policy]}. */
    public SiteOptions withPolicy(String key, String value) {
        return new SiteOptions(speed, proxied, repeatedAnswers, with(policy, key, value), timing);
    }

    /** Returns these options with one more setting of the section {@code [timing]}. */
    public SiteOptions withTiming(String key, String value) {
        return new SiteOptions(speed, proxied, repeatedAnswers, policy, with(timing, key, value));
    }

    private static Map<String, String> with(Map<String, String> map, String key, String value) {
        Map<String, String> changed = new TreeMap<>(map);
        changed.put(key, value);
        return changed;
    }
}
