package org.quetzalseam.gateway.peer;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.quetzalseam.core.dispatch.PlaceOutcome;
import org.quetzalseam.core.dispatch.PlaceRequest;
import org.quetzalseam.core.dispatch.Ticket;
import org.quetzalseam.core.fleet.Incarnation;

/** Encodes requests for places, their answers and the ends of places. Durations are in microseconds. Stateless. */
final class PlaceCodec {
    /** Components of a request, besides the type and the number of the question. */
    static final int ASK_COMPONENTS = 11;
    /** Components of an answer, besides the type and the number of the question. */
    static final int ANSWER_COMPONENTS = 5;
    /** Components of the end of a place, besides the type and the number of the question. */
    static final int END_COMPONENTS = 2;

    private static final int GRANTED = 1;
    private static final int REFUSED = 2;
    private static final int WAITING = 3;
    private static final int DECLINED = 4;

    private static final int ANSWERED = 1;
    private static final int FAILED = 2;
    private static final int REJECTED = 3;
    private static final int NOT_SENT = 4;

    private PlaceCodec() {}

    static void pack(PlaceAsk ask, MessagePacker packer) throws IOException {
        PlaceRequest request = ask.request();
        packer.packString(ask.service())
                .packInt(ask.group())
                .packInt(request.teamPriority())
                .packInt(request.routePriority())
                .packString(request.team())
                .packLong(micros(request.objectiveNanos()))
                .packLong(micros(request.inTimeNanos()))
                .packLong(micros(request.usefulNanos()))
                .packLong(micros(request.waitedNanos()))
                .packInt(request.tokens())
                .packArrayHeader(request.excluded().size());
        for (String id : request.excluded()) {
            packer.packString(id);
        }
    }

    static PlaceAsk unpackAsk(long number, MessageUnpacker unpacker) throws IOException {
        String service = unpacker.unpackString();
        int group = unpacker.unpackInt();
        int teamPriority = unpacker.unpackInt();
        int routePriority = unpacker.unpackInt();
        String team = unpacker.unpackString();
        long objectiveNanos = nanos(unpacker.unpackLong());
        long inTimeNanos = nanos(unpacker.unpackLong());
        long usefulNanos = nanos(unpacker.unpackLong());
        long waitedNanos = nanos(unpacker.unpackLong());
        int tokens = unpacker.unpackInt();
        int count = unpacker.unpackArrayHeader();
        Set<String> excluded = new HashSet<>();
        for (int i = 0; i < count; i++) {
            excluded.add(unpacker.unpackString());
        }
        PlaceRequest request = new PlaceRequest(
                new Ticket("", number),
                teamPriority,
                routePriority,
                team,
                objectiveNanos,
                inTimeNanos,
                usefulNanos,
                waitedNanos,
                tokens,
                excluded);
        return new PlaceAsk(service, group, request);
    }

    static void pack(PlaceAnswer answer, MessagePacker packer) throws IOException {
        packer.packInt(code(answer.decision()))
                .packString(answer.endpoint().id())
                .packLong(answer.endpoint().startMillis())
                .packLong(micros(answer.durationNanos()))
                .packString(answer.inputs());
    }

    static PlaceAnswer unpackAnswer(MessageUnpacker unpacker) throws IOException {
        PlaceAnswer.Decision decision = decision(unpacker.unpackInt());
        Incarnation endpoint = new Incarnation(unpacker.unpackString(), unpacker.unpackLong());
        long durationNanos = nanos(unpacker.unpackLong());
        return new PlaceAnswer(decision, endpoint, Math.max(0, durationNanos), unpacker.unpackString());
    }

    static void packEnd(PlaceOutcome outcome, long responseNanos, MessagePacker packer) throws IOException {
        packer.packInt(code(outcome)).packLong(micros(responseNanos));
    }

    static PeerMessage.EndPlace unpackEnd(long number, MessageUnpacker unpacker) throws IOException {
        PlaceOutcome outcome = outcome(unpacker.unpackInt());
        return new PeerMessage.EndPlace(number, outcome, Math.max(0, nanos(unpacker.unpackLong())));
    }

    private static long micros(long nanos) {
        return TimeUnit.NANOSECONDS.toMicros(nanos);
    }

    private static long nanos(long micros) {
        return TimeUnit.MICROSECONDS.toNanos(micros);
    }

    private static int code(PlaceAnswer.Decision decision) {
        return switch (decision) {
            case GRANTED -> GRANTED;
            case REFUSED -> REFUSED;
            case WAITING -> WAITING;
            case DECLINED -> DECLINED;
        };
    }

    private static PlaceAnswer.Decision decision(int code) {
        return switch (code) {
            case GRANTED -> PlaceAnswer.Decision.GRANTED;
            case REFUSED -> PlaceAnswer.Decision.REFUSED;
            case WAITING -> PlaceAnswer.Decision.WAITING;
            case DECLINED -> PlaceAnswer.Decision.DECLINED;
            default -> throw new IllegalArgumentException("decision on a place: expected 1 to 4, got " + code);
        };
    }

    private static int code(PlaceOutcome outcome) {
        return switch (outcome) {
            case ANSWERED -> ANSWERED;
            case FAILED -> FAILED;
            case REJECTED -> REJECTED;
            case NOT_SENT -> NOT_SENT;
        };
    }

    private static PlaceOutcome outcome(int code) {
        return switch (code) {
            case ANSWERED -> PlaceOutcome.ANSWERED;
            case FAILED -> PlaceOutcome.FAILED;
            case REJECTED -> PlaceOutcome.REJECTED;
            case NOT_SENT -> PlaceOutcome.NOT_SENT;
            default -> throw new IllegalArgumentException("end of a place: expected 1 to 4, got " + code);
        };
    }
}
