package org.quetzalseam.core.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds retries to a share of each owner's requests, so that a fault cannot multiply the load. Thread-safe.
 *
 * <p>Every request adds {@code ratio} to its owner's balance, every retry deducts 1; the balance is capped.
 */
public final class RetryBudget {
    /** Retries that an owner may accumulate at most. */
    private static final double MAX_BALANCE = 20;
    /** Retries of an owner before its first request. */
    private static final double INITIAL_BALANCE = 5;

    private final double ratio;
    private final Map<String, Double> balances = new HashMap<>();

    /** Creates a budget of {@code ratio} retries per request, from 0 to 1. */
    public RetryBudget(double ratio) {
        if (ratio < 0 || ratio > 1) {
            throw new IllegalArgumentException("ratio: expected 0 to 1, got " + ratio);
        }
        this.ratio = ratio;
    }

    /** Records a new request of the owner. */
    public synchronized void recordRequest(String owner) {
        balances.put(owner, Math.min(MAX_BALANCE, balances.getOrDefault(owner, INITIAL_BALANCE) + ratio));
    }

    /** Spends one retry of the owner's budget. Returns false if none is left. */
    public synchronized boolean tryRetry(String owner) {
        double balance = balances.getOrDefault(owner, INITIAL_BALANCE);
        if (balance < 1) {
            return false;
        }
        balances.put(owner, balance - 1);
        return true;
    }
}
