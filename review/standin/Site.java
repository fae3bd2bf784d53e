import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Writes desired states and registrations of a small deployment to the store. */
final class Site {
    static final String HOST = "review.example";

    private Site() {}

    static ObjectNode object() {
        return Store.JSON.createObjectNode();
    }

    /** Returns a route; the kind is safe, unsafe or streaming. */
    static ObjectNode route(String name, String kind, String service, int timeoutMillis, int targetMillis) {
        return object()
                .put("name", name)
                .put("host", HOST)
                .put("path_prefix", "/" + name + "/")
                .put("kind", kind)
                .put("service", service)
                .put("max_attempts", kind.equals("safe") ? 2 : 1)
                .put("timeout_ms", timeoutMillis)
                .put("target_latency_ms", targetMillis)
                .put("target_gap_ms", 300)
                .put("priority", 1);
    }

    /** Returns a desired state with the limits of the deployment's site file. */
    static ObjectNode state(int version, ObjectNode... routes) {
        ObjectNode state = object().put("version", version);
        ArrayNode listed = state.putArray("routes");
        for (ObjectNode route : routes) {
            listed.add(route);
        }
        ArrayNode services = state.putArray("services");
        services.addObject()
                .put("name", "portal")
                .put("health_check_path", "/health")
                .put("max_connections", 110);
        ObjectNode engine = services.addObject()
                .put("name", "llm")
                .put("health_check_path", "/health")
                .put("max_connections", 370);
        engine.putObject("engine").put("kv_tokens", 97_920);
        state.putObject("limits")
                .put("max_header_bytes", 16_384)
                .put("max_body_bytes", 4_194_304)
                .put("header_timeout_ms", 5_000)
                .put("idle_timeout_ms", 15_000);
        return state;
    }

    /** Returns a registration; stage is prefill, decode or null for a plain service. */
    static ObjectNode registration(String service, String address, String state, String stage, int sequence) {
        ObjectNode entry = object()
                .put("service", service)
                .put("address", address)
                .put("zone", "zone-1")
                .put("version", "v1")
                .put("slots", stage == null ? 6 : 64)
                .put("state", state)
                .put("cold_remaining_ms", 0)
                .put("sequence", sequence);
        if (stage != null) {
            entry.put("stage", stage);
            entry.putArray("models").addObject().put("name", "m").put("version", 1).putArray("adapters");
        }
        return entry;
    }
}
