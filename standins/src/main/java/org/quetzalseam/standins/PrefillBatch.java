package org.quetzalseam.standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The prefill queue of an engine stand-in. Prompts are prefilled in chunks, those with the lowest priority number first.
 * Prefixes in the prefix cache take no time. Thread-safe.
 */
final class PrefillBatch {
    private static final int CHUNK_TOKENS = 512;
    private static final int PREFIX_CHARS = 1024;
    private static final int CHARS_PER_TOKEN = 4;
    private static final long NANOS_PER_MICRO = 1_000;

    private static final class Prompt {
        final String id;
        final int priority;
        int remainingTokens;
        boolean cancelled;

        Prompt(String id, int priority, int left) {
            this.id = id;
            this.priority = priority;
            this.remainingTokens = left;
        }
    }

    private final EngineCosts costs;
    private final KvRegistry registry;
    private final List<Prompt> pending = new ArrayList<>();
    private final Map<String, Integer> prefixes = new LinkedHashMap<>(16, 0.75f, true);
    private final Thread worker = new Thread(this::runWorker, "stand-in-prefill");
    private long cachedTokens;
    private boolean stopped;

    PrefillBatch(EngineCosts costs, KvRegistry registry) {
        this.costs = costs;
        this.registry = registry;
        worker.setDaemon(true);
        worker.start();
    }

    /** Prefills a prompt and waits for the end. Returns false when it was cancelled or the engine stopped before. */
    synchronized boolean prefill(String id, String text, int tokens, int priority) {
        Prompt prompt = new Prompt(id, priority, Math.max(1, tokens - lookUpPrefix(text)));
        pending.add(prompt);
        notifyAll();
        while (prompt.remainingTokens > 0 && !prompt.cancelled && !stopped) {
            try {
                wait();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                prompt.cancelled = true;
            }
        }
        pending.remove(prompt);
        if (prompt.remainingTokens > 0) {
            registry.recordWasted(Math.max(0, tokens - prompt.remainingTokens));
        }
        return prompt.remainingTokens <= 0 && !prompt.cancelled;
    }

    private int lookUpPrefix(String text) {
        String prefix = text.substring(0, Math.min(PREFIX_CHARS, text.length()));
        int tokens = prefix.length() / CHARS_PER_TOKEN;
        boolean hit = prefixes.put(prefix, tokens) != null;
        if (!hit) {
            cachedTokens += tokens;
        }
        while (cachedTokens > costs.cachedTokens()) {
            String eldest = prefixes.keySet().iterator().next();
            cachedTokens -= prefixes.getOrDefault(eldest, 0);
            prefixes.remove(eldest);
        }
        return hit ? tokens : 0;
    }

    synchronized void cancel(String id) {
        pending.stream().filter(prompt -> prompt.id.equals(id)).forEach(prompt -> prompt.cancelled = true);
        notifyAll();
    }

    synchronized int size() {
        return pending.size();
    }

    private void runWorker() {
        Prompt prompt = awaitNext();
        while (prompt != null) {
            int chunk = Math.min(CHUNK_TOKENS, prompt.remainingTokens);
            Pause.nanos(chunk * costs.prefillMicrosPerToken() * NANOS_PER_MICRO);
            synchronized (this) {
                prompt.remainingTokens -= chunk;
                notifyAll();
            }
            prompt = awaitNext();
        }
    }

    private synchronized @org.jspecify.annotations.Nullable Prompt awaitNext() {
        while (!stopped) {
            Prompt best = null;
            for (Prompt prompt : pending) {
                boolean ready = prompt.remainingTokens > 0 && !prompt.cancelled;
                if (ready && (best == null || prompt.priority < best.priority)) {
                    best = prompt;
                }
            }
            if (best != null) {
                return best;
            }
            try {
                wait();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return null;
            }
        }
        return null;
    }

    synchronized void stop() {
        stopped = true;
        notifyAll();
    }
}
