import java.util.ArrayList;
import java.util.List;

/** Writes desired states as the operator does. */
final class Config {
    private final List<String> routes = new ArrayList<>();
    private final List<String> services = new ArrayList<>();
    String limits =
            "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":10000,\"idle_timeout_ms\":20000}";

    Config service(String name) {
        services.add("{\"name\":\"" + name
                + "\",\"health_check_path\":\"/health\",\"max_connections\":110,\"protocol\":\"http\"}");
        return this;
    }

    Config route(String name, String prefix, String service, String kind, int attempts, int timeoutMillis, int aim) {
        routes.add("{\"name\":\"" + name + "\",\"host\":\"ficu95.example\",\"path_prefix\":\"" + prefix
                + "\",\"service\":\"" + service + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMillis
                + ",\"target_latency_ms\":" + aim + ",\"max_attempts\":" + attempts
                + ",\"priority\":2,\"public\":false,\"sticky_sessions\":false,\"resumable\":false}");
        return this;
    }

    void removeRoute(String name) {
        routes.removeIf(route -> route.startsWith("{\"name\":\"" + name + "\""));
    }

    String spec(long version) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + String.join(",", services) + "],\"limits\":" + limits + "}";
    }
}
