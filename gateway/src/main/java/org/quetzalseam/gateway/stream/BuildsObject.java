package org.quetzalseam.gateway.stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.quetzalseam.gateway.store.ObjectFields;

/**
 * What the entries of a site have noted in the store of the builds that have served. Immutable.
 *
 * @param builds the builds of each service; an unknown one is empty
 * @param complete whether these are all whose streams may still be taken up
 * @param era the store's era in which this was written; of a later era, it may be older than what served
 */
record BuildsObject(Map<String, Set<String>> builds, boolean complete, long era) {
    static final BuildsObject NONE = new BuildsObject(Map.of(), false, 0);

    private static final String ERA = "era";
    private static final String COMPLETE = "complete";
    private static final String SERVICES = "services";
    private static final String SERVICE = "service";
    private static final String BUILDS = "builds";
    private static final String UNKNOWN_TOO = "unknown-too";

    /** Returns whether these are all builds whose streams may still be taken up, as seen in an era of the store. */
    boolean proves(long presentEra) {
        return complete && era == presentEra;
    }

    /** Returns the builds that another object does not have. */
    Map<String, Set<String>> without(BuildsObject other) {
        Map<String, Set<String>> rest = new TreeMap<>();
        builds.forEach((service, names) -> {
            Set<String> left = new TreeSet<>(names);
            left.removeAll(other.builds.getOrDefault(service, Set.of()));
            rest.put(service, left);
        });
        return rest;
    }

    /** Returns whether another object has all these builds. */
    boolean within(BuildsObject other) {
        return without(other).values().stream().allMatch(Set::isEmpty);
    }

    /** Returns these builds and the given ones. */
    Map<String, Set<String>> with(Map<String, Set<String>> others) {
        Map<String, Set<String>> all = new TreeMap<>();
        builds.forEach((service, names) -> all.put(service, new TreeSet<>(names)));
        others.forEach((service, names) ->
                all.computeIfAbsent(service, key -> new TreeSet<>()).addAll(names));
        return all;
    }

    ObjectNode toJson() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put(ERA, era).put(COMPLETE, complete);
        ArrayNode services = json.putArray(SERVICES);
        builds.forEach((service, names) -> {
            ObjectNode written = services.addObject().put(SERVICE, service);
            ArrayNode texts = written.putArray(BUILDS);
            names.stream().filter(name -> !name.isEmpty()).forEach(texts::add);
            if (names.contains("")) {
                written.put(UNKNOWN_TOO, true);
            }
        });
        return json;
    }

    /**
     * Parses the content of the object.
     *
     * @throws org.quetzalseam.core.store.UnreadableException if no entry can have written it
     */
    static BuildsObject of(JsonNode spec) {
        ObjectFields fields = new ObjectFields("builds", spec);
        Map<String, Set<String>> builds = new TreeMap<>();
        for (ObjectFields service : fields.list(SERVICES)) {
            Set<String> names = new TreeSet<>(service.nonBlankTexts(BUILDS));
            if (service.optionalFlag(UNKNOWN_TOO)) {
                names.add("");
            }
            builds.put(service.nonBlankText(SERVICE), names);
        }
        return new BuildsObject(builds, fields.flag(COMPLETE), fields.integer(ERA, 0, Long.MAX_VALUE));
    }
}
