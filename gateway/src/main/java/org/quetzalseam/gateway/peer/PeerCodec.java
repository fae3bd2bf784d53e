package org.quetzalseam.gateway.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.MessageToByteEncoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes messages between entries as MessagePack arrays, each after its length in two bytes: the type, the number of the question
 * and the rest of the message's components.
 */
final class PeerCodec {
    /** Longest message, in bytes; the only long component is a team's name. */
    private static final int MAX_FRAME_BYTES = 4_096;

    private static final int LENGTH_BYTES = 2;
    private static final int ASK = 1;
    private static final int GRANT = 2;
    private static final int ASK_STATE = 3;
    private static final int STATE = 4;

    private PeerCodec() {}

    static void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new Decoder())
                .addLast(new Encoder());
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
                } else {
                    throw new CorruptedFrameException(
                            "expected a known type and its components, got type " + type + " with " + components);
                }
            } catch (MessagePackException e) {
                throw new CorruptedFrameException("expected a message in MessagePack", e);
            }
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
            out.writeZero(LENGTH_BYTES);
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
                }
            }
            out.setShort(start, out.writerIndex() - start - LENGTH_BYTES);
        }
    }
}
