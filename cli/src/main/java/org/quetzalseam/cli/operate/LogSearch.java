package org.quetzalseam.cli.operate;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Searches entry logs for the lines of one request. Stateless. */
final class LogSearch {
    private static final Pattern TIME = Pattern.compile("time=(\\S+)");

    private LogSearch() {}

    /** Returns the lines that carry the request id, sorted by their {@code time=} values. */
    static List<String> lines(List<Path> files, String request) throws IOException {
        Pattern names = Pattern.compile("\\brequest=" + Pattern.quote(request) + "(\\s|$)");
        List<String> found = new ArrayList<>();
        for (Path file : files) {
            try (Stream<String> lines = Files.lines(file)) {
                lines.filter(line -> names.matcher(line).find()).forEach(found::add);
            }
        }
        found.sort(Comparator.comparing(LogSearch::time));
        return found;
    }

    private static String time(String line) {
        Matcher matcher = TIME.matcher(line);
        return matcher.find() ? matcher.group(1) : "";
    }
}
