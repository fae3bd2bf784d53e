package org.quetzalseam.daemon.caller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.quetzalseam.core.catalogue.Catalogue;
import org.quetzalseam.core.catalogue.OwnerSpec;
import org.quetzalseam.core.catalogue.Route.Kind;
import org.quetzalseam.daemon.Json;
import org.quetzalseam.daemon.entry.RequestId;
import org.quetzalseam.daemon.http.ServerExchange;

/** Lists the models for which the caller's owner has catalogue entries. Thread-safe. */
final class ModelsHandler {
    private final RequestAdmission admittance;

    ModelsHandler(RequestAdmission admittance) {
        this.admittance = admittance;
    }

    void list(ServerExchange exchange, RequestId id) throws IOException {
        OwnerSpec owner = admittance.owner(exchange);
        Catalogue catalogue = admittance.catalogue();
        ObjectNode body = Json.object().put("object", "list");
        ArrayNode data = body.putArray("data");
        catalogue.entries().values().stream()
                .filter(entry -> entry.owner().equals(owner.name()))
                .filter(entry -> entry.route().kind() == Kind.MODEL)
                .map(entry -> entry.route().name())
                .distinct()
                .sorted()
                .forEach(model ->
                        data.addObject().put("id", model).put("object", "model").put("owned_by", owner.name()));
        byte[] bytes = Json.write(body);
        exchange.responseHeaders().set("Content-Type", "application/json");
        exchange.begin(Statuses.OK, bytes.length);
        exchange.responseBody().write(bytes);
    }
}
