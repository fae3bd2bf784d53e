package org.quetzalseam.wire;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.wire.WireException.Code;

/**
 * Reads and writes frames. A frame is a length of four bytes, big-endian, followed by that many bytes. Stateless.
 *
 * <p>The length is checked before anything is read, and memory for a long frame is allocated only when its first part has arrived, so
 * that a peer which sends nothing cannot make this process reserve it.
 */
public final class FrameCodec {
    /** Longest frame accepted, in bytes. */
    public static final int MAX_FRAME_BYTES = 4 << 20;

    /** Bytes of a long frame that arrive before memory for all of it is allocated. */
    private static final int FIRST_PART_BYTES = 64 * 1024;

    private FrameCodec() {}

    /**
     * Reads the next frame, or returns null if the stream ends before it.
     *
     * @param in the stream
     * @param maxLength longest frame accepted, in bytes
     * @throws WireException with {@code BAD_FRAME} if the length is out of bounds or the stream ends inside the frame
     */
    public static byte @Nullable [] read(DataInputStream in, int maxLength) throws IOException {
        int highest = in.read();
        if (highest < 0) {
            return null;
        }
        try {
            int length = highest << 24 | in.readUnsignedByte() << 16 | in.readUnsignedShort();
            if (length <= 0 || length > maxLength) {
                throw new WireException(Code.BAD_FRAME, "length: expected 1 to " + maxLength + " bytes, got " + length);
            }
            byte[] first = in.readNBytes(Math.min(length, FIRST_PART_BYTES));
            if (first.length == length) {
                return first;
            }
            if (first.length < FIRST_PART_BYTES) {
                throw new EOFException();
            }
            byte[] content = Arrays.copyOf(first, length);
            in.readFully(content, first.length, length - first.length);
            return content;
        } catch (EOFException e) {
            throw new WireException(Code.BAD_FRAME, "the stream ended inside a frame", e);
        }
    }

    /** Writes one frame without flushing the stream. */
    public static void write(OutputStream out, byte[] content) throws IOException {
        if (content.length == 0 || content.length > MAX_FRAME_BYTES) {
            throw new WireException(
                    Code.BAD_FRAME, "length: expected 1 to " + MAX_FRAME_BYTES + " bytes, got " + content.length);
        }
        out.write(ByteBuffer.allocate(Integer.BYTES).putInt(content.length).array());
        out.write(content);
    }
}
