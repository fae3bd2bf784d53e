package org.quetzalseam.gateway.route;

/** Whether a request that may have run can be sent again, and if not, what forbids it. */
enum RetryDecision {
    ALLOWED,
    /** Its route doesn't say that it may run twice, or be resumed. */
    NOT_IDEMPOTENT,
    /** As many endpoints as its route allows have run it, or it has waited for memory as often as is of use. */
    TRIES_USED_UP,
    /** This entry's share of the service's retry budget is spent. */
    BUDGET_SPENT
}
