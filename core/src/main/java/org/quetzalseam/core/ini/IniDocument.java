package org.quetzalseam.core.ini;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * The sections of one INI text. Malformed input never throws an exception: problems are collected and returned
 * together. Not thread-safe.
 *
 * <p>Example: {@code new IniDocument("site.ini", text).sections()}.
 */
public final class IniDocument {
    private final String file;
    private final List<Problem> problems = new ArrayList<>();
    private final Map<String, IniSection> sections = new LinkedHashMap<>();

    /**
     * Parses a text.
     *
     * @param file file name for problem reports
     * @param text the INI text
     */
    public IniDocument(String file, String text) {
        this.file = file;
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | IOException | RuntimeException e) {
            problems.add(new Problem(file, "[]", "not readable as INI: " + e.getMessage()));
            return;
        }
        for (String name : ini.getSections()) {
            SubnodeConfiguration section = ini.getSection(name);
            sections.put(name == null ? "" : name, new IniSection(this, name == null ? "" : name, section));
        }
    }

    /** Returns the sections by name, in the order of the file. */
    public Map<String, IniSection> sections() {
        return sections;
    }

    /** Returns the file's name. */
    public String file() {
        return file;
    }

    /** Adds a problem at the given section and key. */
    public void report(String location, String message) {
        problems.add(new Problem(file, location, message));
    }

    /** Returns the problems found so far. */
    public List<Problem> problems() {
        return List.copyOf(problems);
    }
}
