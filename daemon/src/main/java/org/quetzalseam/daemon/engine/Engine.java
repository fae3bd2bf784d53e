package org.quetzalseam.daemon.engine;

import java.util.concurrent.CompletableFuture;

/** A model engine. Implementations are thread-safe and do not block. */
public interface Engine {
    /**
     * Prefills a prompt. The result describes where the KV cache can be fetched, as JSON; it stays valid for less than
     * a second. The future fails with an {@link EngineException}.
     */
    CompletableFuture<byte[]> prefill(EngineRequest request);

    /** Fetches a KV cache and generates outputs from it. */
    void decode(EngineRequest request, byte[] transfer, OutputSink sink);

    /**
     * Cancels a request in whatever state, including one that has not arrived yet. The future completes when the engine
     * has freed its memory.
     */
    CompletableFuture<Void> cancel(String id);
}
