import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A streaming entry, started as a process of its own with the command and the settings template of the deploy file. */
final class Entry {
    private static final List<Entry> ALL = new ArrayList<>();

    private final String name;
    private final Path folder;
    private final String host;
    private final int callers;
    private final int ready;
    private final int peers;
    private final Path settings;
    private volatile Process process;

    private static boolean ending;

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Entry::endAll));
    }

    /** Kills all entries; none is started any more. */
    private static void endAll() {
        synchronized (Entry.class) {
            ending = true;
        }
        ALL.forEach(Entry::kill);
    }

    /** Creates an entry with the bounds of a small deployment; {@code fields} override fields of its settings. */
    Entry(String name, Path folder, String store, Map<String, String> fields) throws IOException {
        this.name = name;
        this.folder = folder;
        ThreadLocalRandom random = ThreadLocalRandom.current();
        // The metrics port is the same for all entries, so that each needs a loopback address of its own.
        this.host = "127." + random.nextInt(1, 255) + "." + random.nextInt(1, 255) + "." + random.nextInt(1, 255);
        this.callers = freePort();
        this.ready = freePort();
        this.peers = freePort();
        this.settings = folder.resolve(name + ".ini");
        Map<String, String> values = new java.util.HashMap<>(Map.of(
                "node_name", name,
                "zone", "zone-1",
                "ip", host,
                "internal_ports.0", "" + peers,
                "listen.front", host + ":" + callers,
                "listen.ready", host + ":" + ready,
                "platform.address", store,
                "limits.cpu_share", "0.57",
                "limits.cores", "1",
                "bounds.grace_s", "8"));
        values.putAll(Map.of(
                "bounds.retry_budget_ratio", "0.2",
                "bounds.retry_budget_slack", "56",
                "bounds.budget_window_s", "10",
                "first_start", "true"));
        values.putAll(fields);
        Files.writeString(settings, render(Files.readString(Path.of("deploy/settings.ini.template")), values));
        ALL.add(this);
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    private int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 28_000);
            try (java.net.ServerSocket probe = new java.net.ServerSocket()) {
                probe.bind(new java.net.InetSocketAddress(host, port));
                return port;
            } catch (IOException e) {
                // In use; another one is tried.
            }
        }
    }

    private static String render(String template, Map<String, String> values) {
        Pattern section = Pattern.compile("\\{\\{([#^])([a-z_.]+)}}(.*?)\\{\\{/\\2}}", Pattern.DOTALL);
        String text = section.matcher(template).replaceAll(found -> {
            String value = values.getOrDefault(found.group(2), "");
            boolean there = !value.isEmpty() && !value.equals("false");
            return there == found.group(1).equals("#") ? Matcher.quoteReplacement(found.group(3)) : "";
        });
        String filled = Pattern.compile("\\{\\{([a-z_.0-9]+)}}")
                .matcher(text)
                .replaceAll(found -> Matcher.quoteReplacement(values.getOrDefault(found.group(1), "")));
        StringBuilder kept = new StringBuilder();
        for (String line : filled.split("\n", -1)) {
            // A key without a value stands for its default.
            if (!line.stripTrailing().endsWith("=")) {
                kept.append(line).append("\n");
            }
        }
        return kept.toString();
    }

    /** Starts the process with the command of the deploy file, in the repository's root. */
    Entry start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no command in the deploy file");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" ", -1));
        Map<String, String> inherited = Map.copyOf(System.getenv());
        builder.environment().clear();
        for (String kept : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (inherited.containsKey(kept)) {
                builder.environment().put(kept, inherited.get(kept));
            }
        }
        builder.environment().put("QUETZALSEAM_NODE_FILE", settings.toAbsolutePath().toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        synchronized (Entry.class) {
            if (ending) {
                throw new IOException("the case has ended");
            }
            process = builder.start();
        }
        return this;
    }

    Path log() {
        return folder.resolve(name + ".log");
    }

    String host() {
        return host;
    }

    int port() {
        return callers;
    }

    long pid() {
        return process.pid();
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    /** Returns whether the entry says that it is ready. */
    boolean isReady() {
        try {
            HttpURLConnection asked = (HttpURLConnection)
                    URI.create("http://" + host + ":" + ready + "/-/ready").toURL().openConnection();
            asked.setConnectTimeout(500);
            asked.setReadTimeout(500);
            return asked.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns whether the entry has become ready in the given time. */
    boolean awaitReady(long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (!isReady()) {
            if (System.nanoTime() > until || !alive()) {
                return false;
            }
            Thread.sleep(100);
        }
        return true;
    }

    void signal(String which) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + which, "" + process.pid()).start().waitFor();
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
