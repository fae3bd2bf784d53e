package org.quetzalseam.gateway.crash;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.quetzalseam.core.crash.CrashReport;
import org.quetzalseam.core.crash.CrashReport.Fact;
import org.quetzalseam.gateway.store.ObjectFields;

/** The form of a crash report in the store. */
final class CrashReportObject {
    private static final String LOST = "lost";
    private static final String ENDED = "ended";
    private static final String PROBES = "probes";
    private static final String SENT_PROBES = "sent-probes";
    private static final String ENDED_PARTS = "ended-parts";
    private static final String REQUEST = "request";
    private static final String SUBJECT = "subject";
    private static final String PARTS = "parts";

    private CrashReportObject() {}

    static ObjectNode toJson(CrashReport report) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        write(json.putArray(LOST), report.lost());
        write(json.putArray(ENDED), report.ended());
        write(json.putArray(PROBES), report.probes());
        write(json.putArray(SENT_PROBES), report.sentProbes());
        write(json.putArray(ENDED_PARTS), report.endedParts());
        return json;
    }

    private static void write(ArrayNode array, List<Fact> facts) {
        for (Fact fact : facts) {
            ObjectNode json = array.addObject().put(REQUEST, fact.request()).put(SUBJECT, fact.subject());
            if (!fact.parts().isEmpty()) {
                fact.parts().forEach(json.putArray(PARTS)::add);
            }
        }
    }

    /**
     * Parses a report.
     *
     * @throws org.quetzalseam.core.store.UnreadableException if no entry can have written it
     */
    static CrashReport of(JsonNode spec) {
        ObjectFields fields = new ObjectFields("crashes", spec);
        return new CrashReport(
                read(fields, LOST),
                read(fields, ENDED),
                read(fields, PROBES),
                readIfPresent(fields, SENT_PROBES),
                readIfPresent(fields, ENDED_PARTS));
    }

    /** Entries of earlier versions do not report facts of each sort. */
    private static List<Fact> readIfPresent(ObjectFields fields, String name) {
        return fields.hasValue(name) ? read(fields, name) : List.of();
    }

    private static List<Fact> read(ObjectFields fields, String name) {
        return fields.list(name).stream()
                .map(fact ->
                        new Fact(fact.nonBlankText(REQUEST), fact.nonBlankText(SUBJECT), fact.nonBlankTexts(PARTS)))
                .toList();
    }
}
