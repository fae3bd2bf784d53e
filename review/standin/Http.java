import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket's stream. */
final class Http {
    private Http() {}

    /** The first line and the headers of a message; header names are in lower case. */
    record Head(String first, Map<String, String> headers) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int length() {
            String length = header("content-length");
            return length.isEmpty() ? 0 : Integer.parseInt(length);
        }

        boolean chunked() {
            return header("transfer-encoding").toLowerCase(Locale.ROOT).contains("chunked");
        }

        String method() {
            return first.split(" ", -1)[0];
        }

        String target() {
            return first.split(" ", -1)[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ", -1)[1]);
        }
    }

    /** Reads a head; returns null if the stream ends before its first byte. */
    static Head head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return new Head(first, headers);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the message ends within a line");
            }
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            line.write(next);
        }
    }

    /** Reads the body of a request. */
    static byte[] body(Head head, InputStream in) throws IOException {
        if (head.chunked()) {
            return chunks(in);
        }
        byte[] body = in.readNBytes(head.length());
        if (body.length < head.length()) {
            throw new EOFException("the message ends within its body");
        }
        return body;
    }

    /** Reads the body of an answer, which ends with the channel if it states no length. */
    static byte[] answerBody(Head head, InputStream in) throws IOException {
        boolean stated = head.chunked() || !head.header("content-length").isEmpty();
        return stated ? body(head, in) : in.readAllBytes();
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) {
                throw new EOFException("the message ends before its last chunk");
            }
            int length = Integer.parseInt(size.split(";", -1)[0].strip(), 16);
            byte[] chunk = in.readNBytes(length);
            if (chunk.length < length) {
                throw new EOFException("the message ends within a chunk");
            }
            body.write(chunk);
            if (line(in) == null) {
                throw new EOFException("the message ends after a chunk");
            }
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    /** Returns an answer with a body of stated length. */
    static byte[] answer(int status, String body, String... headers) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        head.append("Content-Length: ").append(content.length).append("\r\n\r\n");
        ByteArrayOutputStream answer = new ByteArrayOutputStream();
        answer.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        answer.writeBytes(content);
        return answer.toByteArray();
    }
}
