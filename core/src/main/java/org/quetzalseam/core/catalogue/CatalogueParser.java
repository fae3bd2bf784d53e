package org.quetzalseam.core.catalogue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;
import org.quetzalseam.core.admission.WorkClass;
import org.quetzalseam.core.catalogue.Route.Kind;
import org.quetzalseam.core.ini.IniDocument;
import org.quetzalseam.core.ini.IniSection;
import org.quetzalseam.core.ini.Problem;

/**
 * Reads and validates all files of a catalogue together. Each instance parses one catalogue and is not thread-safe.
 *
 * <p>Example: {@code CatalogueParser.parse(Map.of("site.ini", text)).orElseThrow()}.
 */
public final class CatalogueParser {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9.-]{0,62}");
    private static final Pattern TOKEN_DIGEST = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern METHOD = Pattern.compile("[A-Z]{3,10}");
    private static final List<String> SECTION_KINDS = List.of("owner", "model", "service", "entry");
    private static final int MILLIS_PER_DAY = 86_400_000;
    private static final int MAX_COUNT = 1_000_000;

    private final List<Problem> problems = new ArrayList<>();
    private final Map<String, OwnerSpec> owners = new HashMap<>();
    private final Map<String, ModelSpec> models = new HashMap<>();
    private final Map<String, ServiceSpec> services = new HashMap<>();
    private final Map<String, EntrySpec> entries = new HashMap<>();
    private final Map<String, IniSection> entrySections = new HashMap<>();
    private final List<IniDocument> documents = new ArrayList<>();

    private CatalogueParser() {}

    /**
     * The result of reading a catalogue: the catalogue and all problems found.
     *
     * @param catalogue the catalogue; usable only if there are no problems
     * @param problems all problems: duplicate tokens first, then those of each file, in the order of file names
     */
    public record Parsed(Catalogue catalogue, List<Problem> problems) {
        /** Returns whether the catalogue may be used. */
        public boolean valid() {
            return problems.isEmpty();
        }
    }

    /** Parses the files of a catalogue, given as texts by file name. */
    public static Parsed parse(Map<String, String> files) {
        CatalogueParser parser = new CatalogueParser();
        files.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(file -> parser.read(new IniDocument(file.getKey(), file.getValue())));
        parser.checkReferences();
        parser.documents.forEach(document -> parser.problems.addAll(document.problems()));
        Catalogue catalogue = new Catalogue(parser.owners, parser.models, parser.services, parser.entries);
        return new Parsed(catalogue, List.copyOf(parser.problems));
    }

    private void read(IniDocument document) {
        documents.add(document);
        for (IniSection section : document.sections().values()) {
            String[] parts = section.name().split(" ", 2);
            if (parts.length < 2 || !NAME.matcher(parts[1]).matches()) {
                document.report(
                        "[" + section.name() + "]", "expected a kind and a name, such as [owner harbour-office]");
                continue;
            }
            readSection(section, parts[0], parts[1]);
        }
    }

    private void readSection(IniSection section, String kind, String name) {
        Object previous;
        switch (kind) {
            case "owner" -> previous = owners.put(name, owner(section, name));
            case "model" -> previous = models.put(name, model(section, name));
            case "service" -> previous = services.put(name, new ServiceSpec(name, section.text("pool")));
            case "entry" -> {
                previous = entries.put(name, entry(section, name));
                entrySections.put(name, section);
            }
            default -> {
                section.report("", "unknown kind of section" + IniSection.suggestNearest(kind, SECTION_KINDS));
                return;
            }
        }
        if (previous != null) {
            section.report("", "another file has a section of this name");
        }
        section.reportUnknownKeys();
    }

    private static ModelSpec model(IniSection section, String name) {
        return new ModelSpec(name, section.text("prefill-pool"), section.text("decode-pool"));
    }

    private static OwnerSpec owner(IniSection section, String name) {
        List<String> digests = section.list("token-sha256");
        for (String digest : digests) {
            if (!TOKEN_DIGEST.matcher(digest).matches()) {
                section.report("token-sha256", "expected 64 lower-case hexadecimal digits");
            }
        }
        return new OwnerSpec(name, section.integer("weight", 1, 1, 1000), digests);
    }

    private static EntrySpec entry(IniSection section, String name) {
        List<String> methods = section.list("methods");
        for (String method : methods) {
            if (!METHOD.matcher(method).matches()) {
                section.report("methods", "expected upper-case HTTP methods, got '" + method + "'");
            }
        }
        Targets targets = new Targets(
                section.integer("first-output-ms", 1300, 1, MILLIS_PER_DAY),
                section.integer("steady-output-ms", 69, 1, MILLIS_PER_DAY));
        Limits limits = new Limits(
                section.positive("rate-per-second", 100),
                section.integer("concurrency", 100, 1, MAX_COUNT),
                section.integer("queue-length", 100, 1, MAX_COUNT),
                section.integer("queue-wait-ms", targets.firstOutputMillis(), 1, MILLIS_PER_DAY),
                section.integer("max-prompt-tokens", 8000, 1, MAX_COUNT),
                section.integer("max-output-tokens", 1000, 1, MAX_COUNT));
        return new EntrySpec(
                name,
                section.text("owner"),
                section.choice("class", WorkClass.SHORT),
                route(section),
                methods,
                section.flag("idempotent", false),
                targets,
                limits);
    }

    private static Route route(IniSection section) {
        String[] parts = section.text("route").split(" +", 2);
        String kind = parts[0].toLowerCase(Locale.ROOT);
        if (parts.length == 2 && (kind.equals("model") || kind.equals("service"))) {
            return new Route(kind.equals("model") ? Kind.MODEL : Kind.SERVICE, parts[1]);
        }
        section.report("route", "expected 'model NAME' or 'service NAME'");
        return new Route(Kind.SERVICE, "");
    }

    private void checkReferences() {
        Map<String, String> tokenOwners = new HashMap<>();
        for (OwnerSpec owner : owners.values()) {
            for (String digest : owner.tokenDigests()) {
                String other = tokenOwners.put(digest, owner.name());
                if (other != null) {
                    problems.add(new Problem(
                            "catalogue", "[owner " + owner.name() + "] token-sha256", "also given to owner " + other));
                }
            }
        }
        entries.values().forEach(this::checkEntry);
    }

    private void checkEntry(EntrySpec entry) {
        IniSection section = entrySections.get(entry.name());
        if (section == null) {
            return;
        }
        if (!owners.containsKey(entry.owner())) {
            section.report(
                    "owner",
                    "no owner '" + entry.owner() + "'" + IniSection.suggestNearest(entry.owner(), owners.keySet()));
        }
        String route = entry.route().name();
        boolean isModel = entry.route().kind() == Kind.MODEL;
        var names = isModel ? models.keySet() : services.keySet();
        if (!route.isEmpty() && !names.contains(route)) {
            section.report(
                    "route", "no such " + (isModel ? "model" : "service") + IniSection.suggestNearest(route, names));
        }
        if (isModel && !entry.idempotent()) {
            section.report("idempotent", "a model's answers may be generated again: expected true");
        }
    }
}
