package org.quetzalseam.cli.site;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalseam.core.admission.WorkClass;
import org.quetzalseam.core.catalogue.Route;
import org.quetzalseam.core.ini.IniDocument;
import org.quetzalseam.core.ini.IniSection;
import org.quetzalseam.daemon.settings.Settings.BackendKind;

/**
 * Description of a deployment. Immutable. Two are bundled with the program: {@code landesamt} and {@code kowhai}.
 *
 * @param name name of the deployment
 * @param zones availability zones
 * @param entries number of entry VMs
 * @param pools endpoint pools
 * @param traffic kinds of requests that its callers send
 * @param catalogue contents of the catalogue files, keyed by file name
 */
public record Deployment(
        String name,
        List<String> zones,
        int entries,
        List<Pool> pools,
        List<Traffic> traffic,
        Map<String, String> catalogue) {
    private static final int MAX_SERVERS = 100;

    /**
     * A pool of endpoints. Immutable.
     *
     * @param name name of the pool
     * @param kind kind of backend behind its endpoints
     * @param servers number of endpoint VMs
     */
    public record Pool(String name, BackendKind kind, int servers) {}

    /** Copies the collections. */
    public Deployment {
        zones = List.copyOf(zones);
        pools = List.copyOf(pools);
        traffic = List.copyOf(traffic);
        catalogue = Map.copyOf(catalogue);
    }

    /** Returns one of the bundled deployments. */
    public static Deployment bundled(String name) {
        String text = resource(name + "/deployment.ini")
                .orElseThrow(
                        () -> new IllegalArgumentException("deployment: expected landesamt or kowhai, got " + name));
        IniDocument document = new IniDocument(name + "/deployment.ini", text);
        Deployment deployment = read(name, document);
        if (!document.problems().isEmpty()) {
            throw new IllegalArgumentException(document.problems().toString());
        }
        return deployment;
    }

    private static Deployment read(String name, IniDocument document) {
        List<Pool> pools = new ArrayList<>();
        List<Traffic> traffic = new ArrayList<>();
        Map<String, String> catalogue = new HashMap<>();
        catalogue.put("site.ini", resource(name + "/catalogue/site.ini").orElse(""));
        List<String> zones = List.of();
        int entries = 1;
        for (IniSection section : document.sections().values()) {
            String[] words = section.name().split(" ", 2);
            if (words[0].equals("pool")) {
                BackendKind kind = section.choice("kind", BackendKind.SERVICE);
                pools.add(new Pool(words[1], kind, section.integer("servers", 1, 1, MAX_SERVERS)));
            } else if (words[0].equals("traffic")) {
                traffic.add(traffic(words[1], section));
            } else {
                zones = section.list("zones");
                entries = section.integer("entries", 1, 1, MAX_SERVERS);
            }
        }
        traffic.stream()
                .flatMap(kind -> kind.owners().stream())
                .distinct()
                .forEach(owner -> catalogue.put(
                        owner + ".ini",
                        resource(name + "/catalogue/" + owner + ".ini").orElse("")));
        return new Deployment(name, zones, entries, pools, traffic, catalogue);
    }

    private static Traffic traffic(String name, IniSection section) {
        String[] route = section.text("route").split(" ", 2);
        Route.Kind kind = route[0].equals("model") ? Route.Kind.MODEL : Route.Kind.SERVICE;
        return new Traffic(
                name,
                section.list("owners"),
                new Route(kind, route[1]),
                section.choice("class", WorkClass.SHORT),
                section.positive("rate-per-second", 1),
                Range.parse(section.text("prompt-tokens", "1")),
                Range.parse(section.text("output-tokens", "1")),
                section.text("method", "POST"),
                section.flag("keyed", false));
    }

    private static Optional<String> resource(String path) {
        try (InputStream in = Deployment.class.getResourceAsStream("/examples/" + path)) {
            return in == null ? Optional.empty() : Optional.of(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the bearer token that an owner's callers use in the bundled deployments. */
    public static String token(String owner) {
        return "token-" + owner;
    }
}
