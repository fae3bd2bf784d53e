package org.quetzalseam.core.ini;

/**
 * A problem in a file written by an operator. Immutable.
 *
 * @param file the file's name
 * @param location section and key, such as {@code [entry lookups] class}
 * @param message description of the problem and of the expected value
 */
public record Problem(String file, String location, String message) {
    @Override
    public String toString() {
        return file + ": " + location + ": " + message;
    }
}
