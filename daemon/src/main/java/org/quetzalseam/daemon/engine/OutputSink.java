package org.quetzalseam.daemon.engine;

/**
 * Receives what an engine generates for one request: the outputs in order, then exactly one call of {@link #ended} or
 * {@link #failed}.
 */
public interface OutputSink {
    /** Receives one output. */
    void output(String text);

    /** Called when the engine has generated all outputs, with the reason why it stopped. */
    void ended(String reason);

    /** Called when the engine generates no more outputs although it has not ended. */
    void failed(EngineException failure);
}
