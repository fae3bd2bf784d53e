package org.quetzalseam.gateway.peer;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.quetzalseam.core.fleet.Incarnation;
import org.quetzalseam.core.limits.KnownLimit;
import org.quetzalseam.core.limits.Permit;
import org.quetzalseam.core.limits.PermitAnswer;
import org.quetzalseam.core.limits.PermitAsk;

/** Encodes questions about permits and their answers. Durations are in microseconds. Stateless. */
final class PermitCodec {
    /** Components of a question, besides the type and the number of the question. */
    static final int ASK_COMPONENTS = 9;
    /** Components of an answer, besides the type and the number of the question. */
    static final int ANSWER_COMPONENTS = 5;

    private static final int SEND = 1;
    private static final int RETURN = 2;

    private static final int GRANTED = 1;
    private static final int REFUSED = 2;
    private static final int DECLINED = 3;

    private PermitCodec() {}

    static void pack(PermitAsk ask, MessagePacker packer) throws IOException {
        packer.packInt(ask.kind() == PermitAsk.Kind.SEND ? SEND : RETURN)
                .packString(ask.endpoint().id())
                .packLong(ask.endpoint().startMillis())
                .packInt(ask.requests())
                .packLong(TimeUnit.NANOSECONDS.toMicros(ask.maxWaitNanos()));
        pack(ask.known(), packer).packBoolean(ask.relayed());
    }

    static PermitAsk unpackAsk(MessageUnpacker unpacker) throws IOException {
        PermitAsk.Kind kind = askKind(unpacker.unpackInt());
        Incarnation endpoint = new Incarnation(unpacker.unpackString(), unpacker.unpackLong());
        int requests = unpacker.unpackInt();
        long maxWaitNanos = TimeUnit.MICROSECONDS.toNanos(unpacker.unpackLong());
        return new PermitAsk(kind, endpoint, requests, maxWaitNanos, unpackKnown(unpacker), unpacker.unpackBoolean());
    }

    static void pack(PermitAnswer answer, MessagePacker packer) throws IOException {
        packer.packInt(code(answer.permit().kind()))
                .packLong(TimeUnit.NANOSECONDS.toMicros(answer.permit().waitNanos()));
        pack(answer.known(), packer);
    }

    static PermitAnswer unpackAnswer(MessageUnpacker unpacker) throws IOException {
        Permit.Kind kind = kind(unpacker.unpackInt());
        Permit permit = new Permit(kind, TimeUnit.MICROSECONDS.toNanos(unpacker.unpackLong()));
        return new PermitAnswer(permit, unpackKnown(unpacker));
    }

    private static MessagePacker pack(KnownLimit known, MessagePacker packer) throws IOException {
        return packer.packBoolean(known.limited())
                .packDouble(known.perSecond())
                .packLong(TimeUnit.NANOSECONDS.toMicros(known.ageNanos()));
    }

    private static KnownLimit unpackKnown(MessageUnpacker unpacker) throws IOException {
        return new KnownLimit(
                unpacker.unpackBoolean(),
                unpacker.unpackDouble(),
                TimeUnit.MICROSECONDS.toNanos(unpacker.unpackLong()));
    }

    private static PermitAsk.Kind askKind(int code) {
        return switch (code) {
            case SEND -> PermitAsk.Kind.SEND;
            case RETURN -> PermitAsk.Kind.RETURN;
            default -> throw new IllegalArgumentException("kind of question: expected 1 or 2, got " + code);
        };
    }

    private static int code(Permit.Kind kind) {
        return switch (kind) {
            case GRANTED -> GRANTED;
            case REFUSED -> REFUSED;
            case DECLINED -> DECLINED;
        };
    }

    private static Permit.Kind kind(int code) {
        return switch (code) {
            case GRANTED -> Permit.Kind.GRANTED;
            case REFUSED -> Permit.Kind.REFUSED;
            case DECLINED -> Permit.Kind.DECLINED;
            default -> throw new IllegalArgumentException("kind of permit: expected 1 to 3, got " + code);
        };
    }
}
