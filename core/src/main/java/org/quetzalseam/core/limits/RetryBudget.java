package org.quetzalseam.core.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds retries to a share of each owner's requests, so that a fault can't multiply the load. Thread-safe.
 *
 * <p>Every request adds {@code ratio} to its owner's balance, every retry takes 1; the balance is capped.
 */
public final class RetryBudget {
    private static final double MAX_BALANCE = 20;
    private static final double INITIAL_BALANCE = 5;

    private final double ratio;
    private final Map<String, Double> balances = new HashMap<>();

    /** Creates a budget of {@code ratio} retries for each request, between 0 and 1. */
    public RetryBudget(double ratio) {
        if (ratio < 0 || ratio > 1) {
            throw new IllegalArgumentException("ratio: expected 0 to 1, got " + ratio);
        }
        this.ratio = ratio;
    }

    /** Notes a new request of the owner. */
    public synchronized void recordRequest(String owner) {
        balances.put(owner, Math.min(MAX_BALANCE, balances.getOrDefault(owner, INITIAL_BALANCE) + ratio));
    }

    /** Takes one retry from the owner's budget. Returns false when it is used up. */
    public synchronized boolean tryRetry(String owner) {
        double balance = balances.getOrDefault(owner, INITIAL_BALANCE);
        if (balance < 1) {
            return false;
        }
        balances.put(owner, balance - 1);
        return true;
    }
}
