package org.quetzalseam.core.ini;

/**
 * One thing that is wrong with a file an operator wrote. Immutable.
 *
 * @param file the file's name
 * @param location section and key, such as {@code [entry lookups] class}
 * @param message what is wrong and what was expected
 */
public record Problem(String file, String location, String message) {
    @Override
    public String toString() {
        return file + ": " + location + ": " + message;
    }
}
