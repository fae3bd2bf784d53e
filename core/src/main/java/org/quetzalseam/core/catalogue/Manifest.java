package org.quetzalseam.core.catalogue;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Lists the files of a catalogue with the digests of their texts. Immutable. The texts are stored separately, one value
 * per file, so that no value grows with the number of owners.
 *
 * @param version version of the accepted catalogue; increases by one with each change, 0 before the first
 * @param writer random number chosen by the writer, by which it recognizes its own write when the store's reply was
 *     lost
 * @param author who applied the catalogue, for operators to read
 * @param files SHA-256 digests by file name
 */
public record Manifest(long version, long writer, String author, Map<String, String> files) {
    /** Checks the version and the author, and copies the map. */
    public Manifest {
        if (version < 0) {
            throw new IllegalArgumentException("version: expected at least 0, got " + version);
        }
        Objects.requireNonNull(author, "author");
        files = Map.copyOf(files);
    }

    /** Returns the manifest of the empty catalogue. */
    public static Manifest none() {
        return new Manifest(0, 0, "", Map.of());
    }

    /** Returns the names of the files that differ between this manifest and a later one, with the kind of change. */
    public Map<String, Change> changesTo(Manifest other) {
        Map<String, Change> changes = new TreeMap<>();
        files.forEach((name, digest) -> {
            String otherDigest = other.files().get(name);
            if (otherDigest == null) {
                changes.put(name, Change.REMOVED);
            } else if (!otherDigest.equals(digest)) {
                changes.put(name, Change.CHANGED);
            }
        });
        other.files().keySet().stream()
                .filter(name -> !files.containsKey(name))
                .forEach(name -> changes.put(name, Change.ADDED));
        return changes;
    }

    /** Kind of difference of a file between two manifests. */
    public enum Change {
        /** Only the later manifest has the file. */
        ADDED,
        /** Both manifests have the file, with different texts. */
        CHANGED,
        /** Only the earlier manifest has the file. */
        REMOVED
    }
}
