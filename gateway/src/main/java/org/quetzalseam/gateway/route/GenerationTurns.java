package org.quetzalseam.gateway.route;

import org.quetzalseam.core.routing.RouteRule;

/** The turns that one generation has had, each from booking to decoding, and whether it may have another. Used on the event loop only. */
final class GenerationTurns {
    /** Turns for one request before it is given up: two that fail say little of the third, three much of the service. */
    private static final int MAX_TURNS = 3;

    private final RunContext context;
    private final RouteRule route;
    private final String service;
    private int taken;
    private int runs;

    GenerationTurns(RunContext context, RouteRule route, String service) {
        this.context = context;
        this.route = route;
        this.service = service;
    }

    /** Returns how many turns have been taken. */
    int taken() {
        return taken;
    }

    void begun() {
        taken++;
    }

    /** Notes that a turn has sent nothing and is to be taken anew. */
    void putOff() {
        taken--;
    }

    /** Notes that an engine has run the request, or may have. */
    void ran() {
        runs++;
    }

    /** Decides whether a request that the last engine has not run takes another turn, and pays for it if so. */
    boolean again() {
        return taken < MAX_TURNS && context.takeTurn(service);
    }

    /** Decides whether a request that may have run goes on in another turn, and pays for it if so. */
    AnotherTry goOn() {
        return taken < MAX_TURNS ? context.anotherTurn(route, service, runs) : AnotherTry.TRIES_USED_UP;
    }
}
