package org.quetzalseam.core.ini;

import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.text.similarity.LevenshteinDistance;
import org.jspecify.annotations.Nullable;

/**
 * Typed access to the values of one section. A malformed value, or a missing one without a default, is added to the
 * problems of the document and replaced by a default, so that a single pass finds all problems. Not thread-safe.
 */
public final class IniSection {
    private final IniDocument document;
    private final String name;
    private final SubnodeConfiguration values;
    private final Set<String> requestedKeys = new TreeSet<>();

    IniSection(IniDocument document, String name, SubnodeConfiguration values) {
        this.document = document;
        this.name = name;
        this.values = values;
    }

    /** Returns an empty section in place of one that a document does not contain. */
    public static IniSection empty(IniDocument document, String name) {
        return new IniSection(document, name, new INIConfiguration().getSection(name));
    }

    /** Returns the section's name. */
    public String name() {
        return name;
    }

    /** Adds a problem with one key. */
    public void report(String key, String message) {
        document.report("[" + name + "] " + key, message);
    }

    private @Nullable String raw(String key) {
        requestedKeys.add(key);
        List<Object> all = values.getList(key, List.of());
        if (all.size() > 1) {
            report(key, "given " + all.size() + " times, expected once");
        }
        String value = all.isEmpty() ? "" : String.valueOf(all.get(0)).strip();
        return value.isEmpty() ? null : value;
    }

    /** Returns a text; reports a missing value and returns an empty text. */
    public String text(String key) {
        String value = raw(key);
        if (value == null) {
            report(key, "missing, expected a value");
            return "";
        }
        return value;
    }

    /** Returns a text, or the default when it is missing. */
    public String text(String key, String fallback) {
        String value = raw(key);
        return value == null ? fallback : value;
    }

    /** Returns a text if the key has a value. */
    public Optional<String> optional(String key) {
        return Optional.ofNullable(raw(key));
    }

    /** Returns a comma-separated list, empty when the key is missing. */
    public List<String> list(String key) {
        String value = raw(key);
        if (value == null) {
            return List.of();
        }
        return Arrays.stream(value.split(",", -1))
                .map(String::strip)
                .filter(part -> !part.isEmpty())
                .toList();
    }

    /** Returns a whole number between the bounds, or the default when it is missing. */
    public int integer(String key, int fallback, int min, int max) {
        String value = raw(key);
        if (value == null) {
            return fallback;
        }
        try {
            int number = Integer.parseInt(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException expected) {
            // Reported below with the same message as a number out of bounds.
        }
        report(key, "expected a whole number from " + min + " to " + max + ", got '" + value + "'");
        return fallback;
    }

    /** Returns a positive decimal number, or the default when it is missing. */
    public double positive(String key, double fallback) {
        String value = raw(key);
        if (value == null) {
            return fallback;
        }
        try {
            double number = Double.parseDouble(value);
            if (number > 0 && Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException expected) {
            // Reported below with the same message as a number that is not positive.
        }
        report(key, "expected a number above 0, got '" + value + "'");
        return fallback;
    }

    /** Returns true or false, or the default when the key is missing. */
    public boolean flag(String key, boolean fallback) {
        String value = raw(key);
        if (value == null) {
            return fallback;
        }
        if (!value.equals("true") && !value.equals("false")) {
            report(key, "expected true or false, got '" + value + "'");
            return fallback;
        }
        return value.equals("true");
    }

    /**
     * Returns the enum constant with the given name, in lower case with hyphens, or the default when the key is
     * missing.
     */
    public <T extends Enum<T>> T choice(String key, T fallback) {
        String value = raw(key);
        if (value == null) {
            return fallback;
        }
        T[] constants = fallback.getDeclaringClass().getEnumConstants();
        for (T constant : constants) {
            if (settingName(constant).equals(value)) {
                return constant;
            }
        }
        String expected = String.join(
                ", ", Arrays.stream(constants).map(IniSection::settingName).toList());
        report(key, "expected one of " + expected + ", got '" + value + "'");
        return fallback;
    }

    private static String settingName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Reports every key that no accessor has requested, with the most similar requested key. To be called last. */
    public void reportUnknownKeys() {
        Iterator<String> keys = values.getKeys();
        while (keys.hasNext()) {
            String key = keys.next().replace("..", ".");
            if (!requestedKeys.contains(key)) {
                report(key, "unknown key" + suggestNearest(key, requestedKeys));
            }
        }
    }

    /**
     * Returns a hint such as {@code ", did you mean 'class'?"} with the most similar name, or an empty text without
     * names.
     */
    public static String suggestNearest(String name, Iterable<String> names) {
        String nearest = null;
        int nearestDistance = Integer.MAX_VALUE;
        for (String candidate : names) {
            int candidateDistance = LevenshteinDistance.getDefaultInstance().apply(name, candidate);
            if (candidateDistance < nearestDistance) {
                nearestDistance = candidateDistance;
                nearest = candidate;
            }
        }
        return nearest == null ? "" : ", did you mean '" + nearest + "'?";
    }
}
