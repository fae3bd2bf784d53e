package org.quetzalseam.core.catalogue;

import java.util.List;
import org.quetzalseam.core.admission.WorkClass;

/**
 * One catalogue entry. Immutable.
 *
 * @param name the entry's name
 * @param owner the owner whose requests the entry admits
 * @param workClass the class of work
 * @param route the model or service that receives the requests
 * @param methods HTTP methods that the entry admits, for services; empty means all
 * @param idempotent whether a request may safely run more than once
 * @param targets latency targets
 * @param limits limits on rate, concurrency, queueing and tokens
 */
public record EntrySpec(
        String name,
        String owner,
        WorkClass workClass,
        Route route,
        List<String> methods,
        boolean idempotent,
        Targets targets,
        Limits limits) {
    /** Copies the list of methods. */
    public EntrySpec {
        methods = List.copyOf(methods);
    }
}
