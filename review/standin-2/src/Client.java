import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.UUID;

/** A client with one kept channel, which it opens anew when the entry closes it. */
final class Client {
    /** What came of a request. */
    static final class Result {
        final String id;
        long sentAt;
        int status;
        String signature = "";
        /** How long after the last byte of the request the answer had come, the channel was closed, or the client left. */
        long tookMillis = -1;

        /** Whether the entry closed the channel before the answer was whole. */
        boolean closed;
        /** Whether neither had come at the deadline, so that the client has left. */
        boolean gaveUp;
        /** Whether the channel had carried a request before. */
        boolean kept;
        String detail = "";

        Result(String id) {
            this.id = id;
        }
    }

    private static final int PIECE_BYTES = 16_000;

    private final int port;
    private Socket socket;
    private InputStream in;
    private OutputStream out;
    private int answered;

    /** Pause after each piece of a body, in milliseconds: the pace of the client's link. */
    private final long pauseMillis;

    Client(int port) {
        this(port, 0);
    }

    Client(int port, long pauseMillis) {
        this.port = port;
        this.pauseMillis = pauseMillis;
    }

    Result send(String method, String path, byte[] body, boolean chunked, int deadlineMillis, String more) {
        long startedAt = System.nanoTime();
        Result result = new Result(UUID.randomUUID().toString().replace("-", "").substring(0, 16));
        try {
            if (socket == null || socket.isClosed()) {
                socket = new Socket("127.0.0.1", port);
                socket.setTcpNoDelay(true);
                in = Http.buffered(socket.getInputStream());
                out = socket.getOutputStream();
                answered = 0;
            }
            result.kept = answered > 0;
            out.write(Http.bytes(method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + result.id
                    + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\n" + more
                    + (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Content-Length: " + body.length + "\r\n\r\n")));
            for (int at = 0; at < body.length; at += PIECE_BYTES) {
                int length = Math.min(PIECE_BYTES, body.length - at);
                if (chunked) {
                    out.write(Http.bytes(Integer.toHexString(length) + "\r\n"));
                }
                out.write(body, at, length);
                if (chunked) {
                    out.write(Http.bytes("\r\n"));
                }
                out.flush();
                if (pauseMillis > 0) {
                    Threads.sleep(pauseMillis);
                }
            }
            if (chunked) {
                out.write(Http.bytes("0\r\n\r\n"));
            }
            out.flush();
            result.sentAt = System.nanoTime();
            socket.setSoTimeout((int) Math.max(1, deadlineMillis - (result.sentAt - startedAt) / 1_000_000));
            Http.Message answer = Http.read(in);
            result.tookMillis = (System.nanoTime() - result.sentAt) / 1_000_000;
            if (answer == null) {
                result.closed = true;
                close();
                return result;
            }
            answered++;
            result.status = answer.status();
            result.signature = answer.header("X-Server-Signature");
            result.detail = answer.text().strip();
            if (answer.header("Connection").equalsIgnoreCase("close")) {
                close();
            }
        } catch (SocketTimeoutException e) {
            result.gaveUp = true;
            result.tookMillis = (System.nanoTime() - result.sentAt) / 1_000_000;
            result.detail = String.valueOf(e);
            close();
        } catch (IOException e) {
            result.closed = true;
            result.tookMillis = result.sentAt == 0 ? -1 : (System.nanoTime() - result.sentAt) / 1_000_000;
            result.detail = String.valueOf(e);
            close();
        }
        return result;
    }

    void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is closed either way.
        }
        socket = null;
    }
}
