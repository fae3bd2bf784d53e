import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.TreeMap;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking streams. */
final class Http {
    private Http() {}

    /** A message: the words of its first line, its headers (names in any case) and its body. */
    static final class Message {
        String[] first = new String[0];
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        int status() {
            return Integer.parseInt(first[1]);
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                out.write(next);
            }
            next = in.read();
        }
        if (next < 0) {
            throw new EOFException("the message ends within a line");
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a head; null at the end of the connection. */
    static Message head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Message message = new Message();
        message.first = first.split(" ", 3);
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            message.headers.put(header.substring(0, colon).strip(), header.substring(colon + 1).strip());
        }
        return message;
    }

    /** Reads a whole message; null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        Message message = head(in);
        if (message != null) {
            message.body = body(in, message);
        }
        return message;
    }

    static byte[] body(InputStream in, Message message) throws IOException {
        if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("the body ends early");
                }
                int length = Integer.parseInt(size.strip(), 16);
                out.write(exactly(in, length));
                line(in);
                if (length == 0) {
                    return out.toByteArray();
                }
            }
        }
        String length = message.header("Content-Length");
        return length.isEmpty() ? new byte[0] : exactly(in, Integer.parseInt(length));
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body ends early");
        }
        return bytes;
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 16 * 1024);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
