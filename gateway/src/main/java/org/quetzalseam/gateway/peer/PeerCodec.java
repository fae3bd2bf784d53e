package org.quetzalseam.gateway.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.MessageToByteEncoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.quetzalseam.core.fleet.Incarnation;
import org.quetzalseam.core.stream.StreamOrigin;

/**
 * Encodes messages between entries as MessagePack arrays, each after its length in two bytes: the type, the number of the question
 * and the rest of the message's components.
 */
final class PeerCodec {
    private static final int ASK = 1;
    private static final int GRANT = 2;
    private static final int ASK_STATE = 3;
    private static final int STATE = 4;
    private static final int KEEP_ORIGIN = 5;
    private static final int ORIGIN_KEPT = 6;
    private static final int ASK_ORIGIN = 7;
    private static final int ORIGIN = 8;
    private static final int NO_ORIGIN = 9;
    private static final int TELL_CRASHES = 10;
    private static final int CRASHES_HEARD = 11;
    private static final int ASK_PERMIT = 12;
    private static final int PERMIT = 13;
    private static final int ASK_PLACE = 14;
    private static final int PLACE = 15;
    private static final int END_PLACE = 16;
    /** Components of every message: the type and the number of the question. */
    private static final int COMMON_COMPONENTS = 2;

    private PeerCodec() {}

    static void addTo(ChannelPipeline pipeline) {
        addTo(pipeline, new MessageFrames());
    }

    static void addTo(ChannelPipeline pipeline, MessageFrames frames) {
        pipeline.addLast(frames).addLast(new Decoder()).addLast(new Encoder());
    }

    private static final class Decoder extends MessageToMessageDecoder<ByteBuf> {
        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf frame, List<Object> out) throws IOException {
            try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(new ByteBufInputStream(frame))) {
                int components = unpacker.unpackArrayHeader();
                int type = unpacker.unpackInt();
                long id = unpacker.unpackLong();
                if (type == ASK && components == 4) {
                    out.add(new PeerMessage.Ask(id, unpacker.unpackString(), notNegative(unpacker.unpackLong())));
                } else if (type == GRANT && components == 3) {
                    out.add(new PeerMessage.Grant(id, notNegative(unpacker.unpackLong())));
                } else if (type == ASK_STATE && components == 2) {
                    out.add(new PeerMessage.AskState(id));
                } else if (type == STATE && components == 4) {
                    long version = notNegative(unpacker.unpackLong());
                    out.add(new PeerMessage.State(id, version, notNegative(unpacker.unpackLong())));
                } else if (type == KEEP_ORIGIN && components == 8) {
                    String attempt = unpacker.unpackString();
                    StreamOrigin origin = origin(unpacker);
                    out.add(new PeerMessage.KeepOrigin(id, attempt, origin, notNegative(unpacker.unpackLong())));
                } else if (type == ORIGIN_KEPT && components == 2) {
                    out.add(new PeerMessage.OriginKept(id));
                } else if (type == ASK_ORIGIN && components == 3) {
                    out.add(new PeerMessage.AskOrigin(id, unpacker.unpackString()));
                } else if (type == ORIGIN && components == 7) {
                    StreamOrigin origin = origin(unpacker);
                    PeerOrigin known = new PeerOrigin(origin, notNegative(unpacker.unpackLong()));
                    out.add(new PeerMessage.Origin(id, Optional.of(known)));
                } else if (type == NO_ORIGIN && components == 2) {
                    out.add(new PeerMessage.Origin(id, Optional.empty()));
                } else if (type == TELL_CRASHES && components == 6) {
                    String reporter = unpacker.unpackString();
                    out.add(new PeerMessage.TellCrashes(id, reporter, CrashNewsCodec.unpack(unpacker)));
                } else if (type == CRASHES_HEARD && components == 2) {
                    out.add(new PeerMessage.CrashesHeard(id));
                } else if (type == ASK_PERMIT && components == COMMON_COMPONENTS + PermitCodec.ASK_COMPONENTS) {
                    out.add(new PeerMessage.AskPermit(id, PermitCodec.unpackAsk(unpacker)));
                } else if (type == PERMIT && components == COMMON_COMPONENTS + PermitCodec.ANSWER_COMPONENTS) {
                    out.add(new PeerMessage.Permit(id, PermitCodec.unpackAnswer(unpacker)));
                } else if (type == ASK_PLACE && components == COMMON_COMPONENTS + PlaceCodec.ASK_COMPONENTS) {
                    out.add(new PeerMessage.AskPlace(id, PlaceCodec.unpackAsk(id, unpacker)));
                } else if (type == PLACE && components == COMMON_COMPONENTS + PlaceCodec.ANSWER_COMPONENTS) {
                    out.add(new PeerMessage.Place(id, PlaceCodec.unpackAnswer(unpacker)));
                } else if (type == END_PLACE && components == COMMON_COMPONENTS + PlaceCodec.END_COMPONENTS) {
                    out.add(PlaceCodec.unpackEnd(id, unpacker));
                } else {
                    throw new CorruptedFrameException(
                            "expected a known type and its components, got type " + type + " with " + components);
                }
            } catch (MessagePackException | IllegalArgumentException e) {
                throw new CorruptedFrameException("expected a message in MessagePack", e);
            }
        }

        private static StreamOrigin origin(MessageUnpacker unpacker) throws IOException {
            String service = unpacker.unpackString();
            Incarnation endpoint = new Incarnation(unpacker.unpackString(), unpacker.unpackLong());
            String build = unpacker.unpackString();
            return new StreamOrigin(service, endpoint, build.isEmpty() ? null : build);
        }

        private static long notNegative(long number) {
            if (number < 0) {
                throw new CorruptedFrameException("expected 0 or more, got " + number);
            }
            return number;
        }
    }

    private static final class Encoder extends MessageToByteEncoder<PeerMessage> {
        @Override
        protected void encode(ChannelHandlerContext ctx, PeerMessage message, ByteBuf out) throws IOException {
            int start = out.writerIndex();
            out.writeZero(MessageFrames.LENGTH_BYTES);
            try (MessagePacker packer = MessagePack.newDefaultPacker(new ByteBufOutputStream(out))) {
                if (message instanceof PeerMessage.Ask ask) {
                    packer.packArrayHeader(4).packInt(ASK).packLong(ask.id());
                    packer.packString(ask.team()).packLong(ask.units());
                } else if (message instanceof PeerMessage.Grant grant) {
                    packer.packArrayHeader(3)
                            .packInt(GRANT)
                            .packLong(grant.id())
                            .packLong(grant.units());
                } else if (message instanceof PeerMessage.AskState ask) {
                    packer.packArrayHeader(2).packInt(ASK_STATE).packLong(ask.id());
                } else if (message instanceof PeerMessage.State state) {
                    packer.packArrayHeader(4).packInt(STATE).packLong(state.id());
                    packer.packLong(state.version()).packLong(state.ageMillis());
                } else if (message instanceof PeerMessage.TellCrashes tell) {
                    packer.packArrayHeader(6).packInt(TELL_CRASHES).packLong(tell.id());
                    packer.packString(tell.reporter());
                    CrashNewsCodec.pack(tell.news(), packer);
                } else if (message instanceof PeerMessage.CrashesHeard heard) {
                    packer.packArrayHeader(2).packInt(CRASHES_HEARD).packLong(heard.id());
                } else if (message instanceof PeerMessage.AskPermit ask) {
                    packer.packArrayHeader(COMMON_COMPONENTS + PermitCodec.ASK_COMPONENTS)
                            .packInt(ASK_PERMIT)
                            .packLong(ask.id());
                    PermitCodec.pack(ask.ask(), packer);
                } else if (message instanceof PeerMessage.Permit permit) {
                    packer.packArrayHeader(COMMON_COMPONENTS + PermitCodec.ANSWER_COMPONENTS)
                            .packInt(PERMIT)
                            .packLong(permit.id());
                    PermitCodec.pack(permit.answer(), packer);
                } else if (!encodePlaces(message, packer)) {
                    encodeOrigins(message, packer);
                }
            }
            out.setShort(start, out.writerIndex() - start - MessageFrames.LENGTH_BYTES);
        }

        /** Encodes a message about places. Returns false if it is another one. */
        private static boolean encodePlaces(PeerMessage message, MessagePacker packer) throws IOException {
            if (message instanceof PeerMessage.AskPlace ask) {
                begin(packer, PlaceCodec.ASK_COMPONENTS, ASK_PLACE, ask.id());
                PlaceCodec.pack(ask.ask(), packer);
            } else if (message instanceof PeerMessage.Place place) {
                begin(packer, PlaceCodec.ANSWER_COMPONENTS, PLACE, place.id());
                PlaceCodec.pack(place.answer(), packer);
            } else if (message instanceof PeerMessage.EndPlace end) {
                begin(packer, PlaceCodec.END_COMPONENTS, END_PLACE, end.id());
                PlaceCodec.packEnd(end.outcome(), end.responseNanos(), packer);
            } else {
                return false;
            }
            return true;
        }

        private static void begin(MessagePacker packer, int components, int type, long id) throws IOException {
            packer.packArrayHeader(COMMON_COMPONENTS + components).packInt(type).packLong(id);
        }

        private static void encodeOrigins(PeerMessage message, MessagePacker packer) throws IOException {
            if (message instanceof PeerMessage.KeepOrigin keep) {
                packer.packArrayHeader(8).packInt(KEEP_ORIGIN).packLong(keep.id());
                packer.packString(keep.attempt());
                pack(keep.origin(), packer).packLong(keep.keepMillis());
            } else if (message instanceof PeerMessage.OriginKept kept) {
                packer.packArrayHeader(2).packInt(ORIGIN_KEPT).packLong(kept.id());
            } else if (message instanceof PeerMessage.AskOrigin ask) {
                packer.packArrayHeader(3).packInt(ASK_ORIGIN).packLong(ask.id()).packString(ask.attempt());
            } else if (message instanceof PeerMessage.Origin answer
                    && answer.known().isPresent()) {
                PeerOrigin known = answer.known().get();
                packer.packArrayHeader(7).packInt(ORIGIN).packLong(answer.id());
                pack(known.origin(), packer).packLong(known.ageMillis());
            } else {
                packer.packArrayHeader(2).packInt(NO_ORIGIN).packLong(message.id());
            }
        }

        private static MessagePacker pack(StreamOrigin origin, MessagePacker packer) throws IOException {
            String build = origin.build();
            return packer.packString(origin.service())
                    .packString(origin.endpoint().id())
                    .packLong(origin.endpoint().startMillis())
                    .packString(build == null ? "" : build);
        }
    }
}
