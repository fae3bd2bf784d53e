package org.quetzalseam.core.catalogue;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalseam.core.catalogue.Route.Kind;

/**
 * A complete, validated catalogue. Immutable. {@link CatalogueParser} creates it from the files of an operator.
 *
 * @param owners owners by name
 * @param models models by name
 * @param services services by name
 * @param entries entries by name
 */
public record Catalogue(
        Map<String, OwnerSpec> owners,
        Map<String, ModelSpec> models,
        Map<String, ServiceSpec> services,
        Map<String, EntrySpec> entries) {
    /** Copies the maps. */
    public Catalogue {
        owners = Map.copyOf(owners);
        models = Map.copyOf(models);
        services = Map.copyOf(services);
        entries = Map.copyOf(entries);
    }

    /** Returns a catalogue without entries, which a process uses until it has read an accepted one. */
    public static Catalogue empty() {
        return new Catalogue(Map.of(), Map.of(), Map.of(), Map.of());
    }

    /**
     * Returns the owner's entry for a model and a prompt length: among the entries whose prompt limit is large enough,
     * the one with the smallest limit; if there is none, the one with the largest, so that the refusal can name its
     * limit.
     */
    public Optional<EntrySpec> modelEntry(String owner, String model, int promptTokens) {
        List<EntrySpec> own = entries.values().stream()
                .filter(entry -> entry.owner().equals(owner))
                .filter(entry -> entry.route().kind() == Kind.MODEL)
                .filter(entry -> entry.route().name().equals(model))
                .sorted(Comparator.comparingInt(
                                (EntrySpec entry) -> entry.limits().promptTokens())
                        .thenComparing(EntrySpec::name))
                .toList();
        Optional<EntrySpec> fitting = own.stream()
                .filter(entry -> promptTokens <= entry.limits().promptTokens())
                .findFirst();
        return fitting.or(() -> own.isEmpty() ? Optional.empty() : Optional.of(own.get(own.size() - 1)));
    }

    /** Returns the owner's entry for a service that admits an HTTP method. */
    public Optional<EntrySpec> serviceEntry(String owner, String service, String method) {
        return entries.values().stream()
                .filter(entry -> entry.owner().equals(owner))
                .filter(entry -> entry.route().kind() == Kind.SERVICE)
                .filter(entry -> entry.route().name().equals(service))
                .filter(entry -> entry.methods().isEmpty() || entry.methods().contains(method))
                .min(Comparator.comparing(EntrySpec::name));
    }

    /** Returns the owner of a token, given the SHA-256 digest of the token. */
    public Optional<OwnerSpec> ownerOf(String tokenDigest) {
        return owners.values().stream()
                .filter(owner -> owner.tokenDigests().stream().anyMatch(digest -> sameDigest(digest, tokenDigest)))
                .findFirst();
    }

    private static boolean sameDigest(String expected, String actual) {
        return java.security.MessageDigest.isEqual(
                expected.getBytes(java.nio.charset.StandardCharsets.US_ASCII),
                actual.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
    }
}
