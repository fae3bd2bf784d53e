import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The project's entry as a process of its own, started with the command of the deploy file. */
final class Entry {
    private static final List<Entry> ALL = new CopyOnWriteArrayList<>();

    final String name;
    final int callers = freePort();
    final int ready = freePort();
    final int peers = freePort();
    final int metrics = freePort();
    private final Path folder;
    private final Path settings;
    private final boolean firstStart;
    private Process process;

    /** Writes the settings of an entry, filled in as the template of the deploy file is. */
    Entry(Path folder, String name, String store, boolean firstStart, String more) throws IOException {
        ALL.add(this);
        this.folder = folder;
        this.name = name;
        this.firstStart = firstStart;
        this.settings = folder.resolve(name + ".ini");
        Files.writeString(settings, """
                [process]
                name = %s
                zone = zone-a
                grace-seconds = 8
                first-start = %s
                processor-share = 0.57
                processor-cores = 1
                file-descriptors = 4100

                [listen]
                callers = 127.0.0.1:%d
                ready = 127.0.0.1:%d
                peers = 127.0.0.1:%d
                metrics-port = %d

                [platform]
                store = %s

                [retries]
                ratio = 0.2
                slack = 56
                window-seconds = 10

                [generation]
                booked-deviations = 0.7
                admitted-deviations = 2.2
                prefill-share = 0.25

                [plain-calls]
                shared-queue-from = 1.5
                %s
                """.formatted(name, firstStart, callers, ready, peers, metrics, store, more));
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    void start() throws IOException {
        List<String> words = new ArrayList<>();
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                words.addAll(List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
            }
        }
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().put("QUETZALSEAM_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        process = builder.start();
    }

    boolean isReady() {
        try (Socket socket = new Socket("127.0.0.1", ready)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(Http.bytes("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
            Http.Message answer = Http.read(Http.buffered(socket.getInputStream()));
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean awaitReady(long millis) {
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until) {
            if (isReady()) {
                return true;
            }
            Threads.sleep(50);
        }
        return false;
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    void signal(String signal) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    Path log() {
        return folder.resolve(name + ".log");
    }

    /** Ends the processes of all entries that were started. */
    static void killAll() {
        ALL.forEach(Entry::kill);
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
