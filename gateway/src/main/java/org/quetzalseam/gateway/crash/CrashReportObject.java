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
    private static final String REQUEST = "request";
    private static final String SUBJECT = "subject";

    private CrashReportObject() {}

    static ObjectNode toJson(CrashReport report) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        write(json.putArray(LOST), report.lost());
        write(json.putArray(ENDED), report.ended());
        write(json.putArray(PROBES), report.probes());
        write(json.putArray(SENT_PROBES), report.sentProbes());
        return json;
    }

    private static void write(ArrayNode array, List<Fact> facts) {
        facts.forEach(fact -> array.addObject().put(REQUEST, fact.request()).put(SUBJECT, fact.subject()));
    }

    /**
     * Parses a report.
     *
     * @throws org.quetzalseam.gateway.store.UnreadableException if no entry can have written it
     */
    static CrashReport of(JsonNode spec) {
        ObjectFields fields = new ObjectFields("crashes", spec);
        // An entry of an earlier version does not report which probes it sent.
        List<Fact> sentProbes = fields.hasValue(SENT_PROBES) ? read(fields, SENT_PROBES) : List.of();
        return new CrashReport(read(fields, LOST), read(fields, ENDED), read(fields, PROBES), sentProbes);
    }

    private static List<Fact> read(ObjectFields fields, String name) {
        return fields.list(name).stream()
                .map(fact -> new Fact(fact.nonBlankText(REQUEST), fact.nonBlankText(SUBJECT)))
                .toList();
    }
}
