package org.quetzalseam.wire;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.quetzalseam.wire.WireException.Code;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.message.MessageType;

/**
 * Encodes messages as the content of frames and decodes them: the number of the message's type, then its components.
 * Thread-safe.
 *
 * <p>Example: {@code MessageCodec.decode(MessageCodec.encode(message)).equals(message)}.
 */
public final class MessageCodec {
    private static final RecordCodec RECORDS = new RecordCodec();
    private static final Map<Class<?>, MessageType> BY_CLASS = new HashMap<>();
    private static final Map<Integer, MessageType> BY_NUMBER = new HashMap<>();

    static {
        for (MessageType type : MessageType.values()) {
            BY_CLASS.put(type.type(), type);
            BY_NUMBER.put(type.number(), type);
        }
    }

    private MessageCodec() {}

    /** Returns the content of the frame that carries a message. */
    public static byte[] encode(Message message) {
        MessageType type = BY_CLASS.get(message.getClass());
        if (type == null) {
            throw new IllegalArgumentException("no message type for " + message.getClass());
        }
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(type.number());
            RECORDS.pack(packer, message);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new WireException(Code.BAD_MESSAGE, "could not pack " + type, e);
        }
    }

    /**
     * Returns the message that the content of a frame carries.
     *
     * @throws WireException with {@code BAD_MESSAGE} if the bytes are not a known message
     */
    public static Message decode(byte[] content) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(content)) {
            int number = unpacker.unpackInt();
            MessageType type = BY_NUMBER.get(number);
            if (type == null) {
                throw new WireException(Code.BAD_MESSAGE, "no message type has the number " + number);
            }
            return RECORDS.unpack(unpacker, type.type());
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new WireException(Code.BAD_MESSAGE, "could not unpack: " + e.getMessage(), e);
        }
    }
}
