package org.quetzalseam.gateway.stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.quetzalseam.core.stream.NotedOrigin;
import org.quetzalseam.gateway.store.ObjectFields;

/** The form in which an entry's notes of where streams began are in the store. */
final class OriginsObject {
    private static final String ORIGINS = "origins";
    private static final String SERVICE = "service";
    private static final String BUILD = "build";
    private static final String STREAMS = "streams";

    private OriginsObject() {}

    private record At(String service, String build) implements Comparable<At> {
        @Override
        public int compareTo(At other) {
            int byService = service.compareTo(other.service);
            return byService == 0 ? build.compareTo(other.build) : byService;
        }
    }

    /** Returns the content of the object: the streams of each build, each as its digest and the second until which it counts. */
    static ObjectNode toJson(Collection<NotedOrigin> notes) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode origins = json.putArray(ORIGINS);
        Map<At, ArrayNode> streams = new TreeMap<>();
        for (NotedOrigin note : notes) {
            streams.computeIfAbsent(
                            new At(note.service(), note.build()),
                            at -> origins.addObject()
                                    .put(SERVICE, at.service())
                                    .put(BUILD, at.build())
                                    .putArray(STREAMS))
                    .add(note.stream() + note.untilSeconds());
        }
        return json;
    }

    /**
     * Parses the content of the object.
     *
     * @throws org.quetzalseam.core.store.UnreadableException if no entry can have written it
     */
    static List<NotedOrigin> of(JsonNode spec) {
        List<NotedOrigin> notes = new ArrayList<>();
        for (ObjectFields origin : new ObjectFields("origins", spec).list(ORIGINS)) {
            String service = origin.nonBlankText(SERVICE);
            String build = origin.text(BUILD);
            for (String stream : origin.nonBlankTexts(STREAMS)) {
                notes.add(note(origin, service, build, stream));
            }
        }
        return notes;
    }

    private static NotedOrigin note(ObjectFields origin, String service, String build, String stream) {
        if (!stream.matches("[A-Za-z0-9_-]{" + NotedOrigin.DIGEST_CHARS + "}[0-9]{1,12}")) {
            throw origin.notAllowed(STREAMS, "digests with a time in seconds");
        }
        long untilSeconds = Long.parseLong(stream.substring(NotedOrigin.DIGEST_CHARS));
        return new NotedOrigin(stream.substring(0, NotedOrigin.DIGEST_CHARS), service, build, untilSeconds);
    }
}
