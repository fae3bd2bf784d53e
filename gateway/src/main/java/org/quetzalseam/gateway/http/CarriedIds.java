package org.quetzalseam.gateway.http;

import java.util.HashSet;
import java.util.Set;

/** The ids of the requests that a connection has carried, each once. Used on the event loop only. */
final class CarriedIds {
    /** Number of ids after which a connection is closed, which bounds the memory that it takes to remember them. */
    private static final int MAX_IDS = 500;

    private final Set<String> ids = new HashSet<>();

    void add(String id) {
        ids.add(id);
    }

    boolean contains(String id) {
        return ids.contains(id);
    }

    boolean full() {
        return ids.size() >= MAX_IDS;
    }
}
