package org.quetzalseam.cli.site;

import java.util.List;
import org.quetzalseam.core.admission.WorkClass;
import org.quetzalseam.core.catalogue.Route;

/**
 * A kind of requests that a deployment's callers send. Immutable.
 *
 * @param name name of the kind
 * @param owners owners that send it; the first sends twice as much as each of the others
 * @param route route that the requests are sent to
 * @param workClass class of work
 * @param ratePerSecond requests per second at load 1.0
 * @param promptTokens range of prompt lengths, for models
 * @param outputTokens range of output lengths, for models
 * @param method HTTP method, for services
 * @param keyed whether requests carry an idempotency key
 */
public record Traffic(
        String name,
        List<String> owners,
        Route route,
        WorkClass workClass,
        double ratePerSecond,
        Range promptTokens,
        Range outputTokens,
        String method,
        boolean keyed) {
    /** Copies the list of owners. */
    public Traffic {
        owners = List.copyOf(owners);
    }

    /** Returns the same traffic with its rate multiplied by {@code factor}. */
    public Traffic faster(double factor) {
        return new Traffic(
                name, owners, route, workClass, ratePerSecond * factor, promptTokens, outputTokens, method, keyed);
    }
}
