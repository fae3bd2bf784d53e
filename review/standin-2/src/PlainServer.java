import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in for an application server: runs each request for some time and answers it whole and signed. */
class PlainServer {
    /** Receives what arrives. */
    interface Observer {
        void ran(PlainServer server, Http.Message request);
    }

    final String id;
    final String service;
    final ServerSocket listener;
    final Observer observer;
    volatile long workMillis;
    volatile boolean ended;
    private final int slotCount;
    private final Semaphore slots;
    private final int queue;
    private final AtomicInteger held = new AtomicInteger();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    /** Creates a server with so many slots, beyond which it queues some requests and rejects the others. */
    PlainServer(String id, String service, int slotCount, int queue, long workMillis, Observer observer)
            throws IOException {
        this.slotCount = slotCount;
        this.slots = new Semaphore(slotCount, true);
        this.queue = queue;
        this.id = id;
        this.service = service;
        this.workMillis = workMillis;
        this.observer = observer;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.start(id, this::accept);
    }

    String registration(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + listener.getLocalPort()
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + slotCount + ",\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"sequence\":1}";
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            open.add(socket);
            Threads.start(id + "-call", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                String expected = call.header("X-Expected-Instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    write(out, call, "421 Misdirected Request", "X-Not-Executed: 1\r\n", "another server\n");
                    continue;
                }
                if (held.incrementAndGet() > slotCount + queue) {
                    held.decrementAndGet();
                    write(out, call, "503 Service Unavailable", "X-Not-Executed: 1\r\n", "full\n");
                    continue;
                }
                slots.acquire();
                try {
                    observer.ran(this, call);
                    Thread.sleep(workMillis);
                } finally {
                    slots.release();
                    held.decrementAndGet();
                }
                write(out, call, "200 OK", "X-Server-Signature: " + id + "." + call.header("X-Request-Id") + "\r\n",
                        "answer to " + call.header("X-Request-Id") + "\n");
            }
        } finally {
            open.remove(socket);
        }
    }

    void write(OutputStream out, Http.Message call, String status, String more, String body) throws IOException {
        out.write(Http.bytes("HTTP/1.1 " + status + "\r\nX-Request-Id: " + call.header("X-Request-Id") + "\r\n" + more
                + "Content-Length: " + body.length() + "\r\n\r\n" + body));
        out.flush();
    }

    /** Ends the server: it closes all its connections and listens no more. */
    void end() throws IOException {
        ended = true;
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
