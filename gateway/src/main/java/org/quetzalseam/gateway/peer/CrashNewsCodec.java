package org.quetzalseam.gateway.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.quetzalseam.core.crash.CrashReport;
import org.quetzalseam.core.crash.CrashReport.Fact;

/** Encodes facts about crashes: lists of lost requests with their parts, of ended requests and of ended parts. Stateless. */
final class CrashNewsCodec {
    private CrashNewsCodec() {}

    static void pack(CrashReport news, MessagePacker packer) throws IOException {
        pack(news.lost(), packer);
        pack(news.ended(), packer);
        pack(news.endedParts(), packer);
    }

    private static void pack(List<Fact> facts, MessagePacker packer) throws IOException {
        packer.packArrayHeader(facts.size());
        for (Fact fact : facts) {
            packer.packString(fact.request())
                    .packString(fact.subject())
                    .packArrayHeader(fact.parts().size());
            for (String part : fact.parts()) {
                packer.packString(part);
            }
        }
    }

    static CrashReport unpack(MessageUnpacker unpacker) throws IOException {
        List<Fact> lost = unpackFacts(unpacker);
        List<Fact> ended = unpackFacts(unpacker);
        return new CrashReport(lost, ended, List.of(), List.of(), unpackFacts(unpacker));
    }

    private static List<Fact> unpackFacts(MessageUnpacker unpacker) throws IOException {
        int number = unpacker.unpackArrayHeader();
        List<Fact> facts = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            String request = unpacker.unpackString();
            String subject = unpacker.unpackString();
            int held = unpacker.unpackArrayHeader();
            List<String> parts = new ArrayList<>();
            for (int place = 0; place < held; place++) {
                parts.add(unpacker.unpackString());
            }
            facts.add(new Fact(request, subject, parts));
        }
        return facts;
    }
}
