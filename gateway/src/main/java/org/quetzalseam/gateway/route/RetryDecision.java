package org.quetzalseam.gateway.route;

/** States whether a request that may have run is sent again, and if not, why. */
enum RetryDecision {
    ALLOWED,
    /** The route does not allow it to run twice or to be resumed. */
    NOT_IDEMPOTENT,
    /** It has run at as many endpoints as its route allows, or has waited for memory in as many attempts as are of use. */
    TRIES_USED_UP,
    /** This entry's share of the service's retry budget is used up. */
    BUDGET_SPENT,
    /** Endpoints have crashed while they ran it. */
    QUARANTINED
}
