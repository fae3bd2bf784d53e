package org.quetzalseam.standins.raw;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** A connection whose replies are written as text. Only the thread that serves it may use it, except for {@link #reset}. */
public final class RawConnection {
    /** States that the replies that follow are written whole. */
    public static final int NO_CUT = -1;

    /** Bytes of an answer that are kept for its repetition; answers without end must not fill the memory. */
    private static final int MOST_KEPT_BYTES = 1 << 16;

    private final Socket socket;
    private final InputStream in;
    private final ByteArrayOutputStream lastAnswer = new ByteArrayOutputStream();
    private boolean answered;
    private int bytesBeforeCut = NO_CUT;
    private End cutEnd = End.CLOSED;
    private @Nullable String callId;

    RawConnection(Socket socket) throws IOException {
        this.socket = socket;
        this.in = new BufferedInputStream(socket.getInputStream());
        socket.setTcpNoDelay(true);
    }

    /** Reads the next request. Returns null at the end of the stream. */
    @Nullable
    RawRequest read() throws IOException {
        String requestLine = readLine();
        if (requestLine.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        String header = readLine();
        while (!header.isEmpty()) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).strip());
            header = readLine();
        }
        callId = headers.get("quetzalseam-call-id");
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        String[] parts = requestLine.split(" ", -1);
        answered = false;
        return new RawRequest(parts[0], parts[1], headers, body);
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    /** Writes text unchanged. */
    public void write(String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        keep(bytes);
        if (bytesBeforeCut == NO_CUT) {
            socket.getOutputStream().write(bytes);
            return;
        }
        int written = Math.min(bytesBeforeCut, bytes.length);
        if (written > 0) {
            socket.getOutputStream().write(bytes, 0, written);
            bytesBeforeCut -= written;
            if (bytesBeforeCut == 0) {
                endCut();
            }
        }
    }

    private void keep(byte[] bytes) {
        if (!answered) {
            lastAnswer.reset();
            answered = true;
        }
        lastAnswer.write(bytes, 0, Math.min(bytes.length, MOST_KEPT_BYTES - lastAnswer.size()));
    }

    /** Returns the length of the answer that {@link #repeat} sends, in bytes; 0 before the first answer. */
    public int lastAnswerLength() {
        return lastAnswer.size();
    }

    /**
     * Sends the connection's last answer again: until the next one begins, also after the next request has been read.
     *
     * @param bytes the number of bytes after which the copy stops; the connection stays open
     */
    public void repeat(int bytes) throws IOException {
        socket.getOutputStream().write(lastAnswer.toByteArray(), 0, Math.min(bytes, lastAnswer.size()));
    }

    /** Writes a complete reply with its Content-Length and the call's id, if any; each header is a line without the line break. */
    public void reply(int status, String body, String... headers) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + (status == 200 ? " OK" : " Other") + "\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        if (callId != null) {
            head.append("Quetzalseam-Call-Id: ").append(callId).append("\r\n");
        }
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        write(head + "Content-Length: " + length + "\r\n\r\n" + body);
    }

    /** Writes one chunk of a chunked body. */
    public void chunk(String text) throws IOException {
        write(Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n");
    }

    /** Writes the last chunk of a chunked body. */
    public void endChunks() throws IOException {
        write("0\r\n\r\n");
    }

    /** How a reply that is cut short ends. */
    public enum End {
        /** The sending direction is closed in order. */
        CLOSED,
        /** The connection is reset. */
        RESET
    }

    /** Writes the first bytes of a reply, and ends the connection. */
    public void cut(String reply, int bytes, End end) throws IOException {
        cutAfter(bytes, end);
        write(reply);
    }

    /**
     * Ends the connection after some more bytes have been written; what is written then is lost.
     *
     * @param bytes the number of bytes, or {@link #NO_CUT}
     * @param end how the connection ends
     */
    public void cutAfter(int bytes, End end) throws IOException {
        cutEnd = end;
        bytesBeforeCut = bytes;
        if (bytes == 0) {
            endCut();
        }
    }

    private void endCut() throws IOException {
        if (cutEnd == End.RESET) {
            reset();
        } else {
            finish();
        }
    }

    /** Closes the sending direction in order. */
    public void finish() throws IOException {
        socket.shutdownOutput();
    }

    /** Resets the connection. */
    public void reset() {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException expected) {
            // The connection is closed already.
        }
    }

    /** Waits for the peer to close the connection. Returns whether it closed without sending anything before. */
    public boolean awaitClosed(int limitMillis) throws IOException {
        socket.setSoTimeout(limitMillis);
        return in.read() < 0;
    }

    void close() throws IOException {
        socket.close();
    }
}
