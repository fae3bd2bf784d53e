import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends one request on a channel of its own and reads the answer. */
final class Caller {
    private Caller() {}

    /** What a client sees: the status and the body of a complete answer, or 0 and what went wrong. */
    record Outcome(int status, String signature, String retryAfter, String body) {
        boolean served() {
            return status == 200 && !signature.isEmpty();
        }
    }

    static Outcome ask(Entry entry, String method, String path, String id, int deadlineMillis, String... headers) {
        try (Socket client = new Socket()) {
            client.connect(new java.net.InetSocketAddress(entry.host(), entry.port()), 1_000);
            client.setSoTimeout(deadlineMillis + 2_000);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + Site.HOST
                    + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\n");
            for (String header : headers) {
                head.append(header).append("\r\n");
            }
            head.append(method.equals("GET") ? "\r\n" : "Content-Length: 2\r\n\r\nhi");
            client.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(client.getInputStream());
            Http.Head answer = Http.head(in);
            if (answer == null) {
                return new Outcome(0, "", "", "the channel was closed without an answer");
            }
            String body = new String(Http.answerBody(answer, in), StandardCharsets.UTF_8);
            return new Outcome(answer.status(), answer.header("X-Server-Signature"), answer.header("Retry-After"), body);
        } catch (IOException e) {
            return new Outcome(0, "", "", e.toString());
        }
    }
}
