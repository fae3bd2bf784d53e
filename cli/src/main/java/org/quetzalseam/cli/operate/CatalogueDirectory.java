package org.quetzalseam.cli.operate;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * A directory of catalogue files that operators keep under version control. The file {@code .catalogue-version} holds
 * the accepted version that the files are based on. Not thread-safe.
 */
final class CatalogueDirectory {
    private static final String VERSION_FILE = ".catalogue-version";
    private static final String SUFFIX = ".ini";

    private final Path path;

    CatalogueDirectory(Path path) {
        this.path = path;
    }

    /** Returns the contents of all {@code .ini} files, keyed by file name. */
    Map<String, String> files() {
        Map<String, String> files = new TreeMap<>();
        for (Path file : list()) {
            try {
                files.put(file.getFileName().toString(), Files.readString(file));
            } catch (IOException e) {
                throw new UncheckedIOException("cannot read " + file, e);
            }
        }
        return files;
    }

    private List<Path> list() {
        try (Stream<Path> all = Files.list(path)) {
            return all.filter(file -> file.getFileName().toString().endsWith(SUFFIX))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read directory " + path, e);
        }
    }

    /** Returns the accepted version that the files are based on, or 0 if there is no version file. */
    long baseVersion() {
        Path file = path.resolve(VERSION_FILE);
        if (!Files.exists(file)) {
            return 0;
        }
        try {
            return Long.parseLong(Files.readString(file).strip());
        } catch (IOException | NumberFormatException e) {
            throw new IllegalStateException(file + ": expected a version number", e);
        }
    }

    /** Records the accepted version that the files are based on. */
    void baseVersion(long version) {
        write(path.resolve(VERSION_FILE), version + "\n");
    }

    /** Replaces all {@code .ini} files of the directory with the given files; creates the directory if necessary. */
    void replace(Map<String, String> files) {
        try {
            Files.createDirectories(path);
            for (Path old : list()) {
                if (!files.containsKey(old.getFileName().toString())) {
                    Files.delete(old);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write directory " + path, e);
        }
        files.forEach((name, text) -> write(path.resolve(name), text));
    }

    private static void write(Path file, String text) {
        try {
            Files.writeString(file, text);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write " + file, e);
        }
    }
}
