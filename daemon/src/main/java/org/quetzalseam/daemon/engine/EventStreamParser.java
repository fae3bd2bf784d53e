package org.quetzalseam.daemon.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.daemon.Json;
import org.quetzalseam.daemon.engine.EngineException.Code;

/**
 * Parses the server-sent events of one stream into outputs. Reports exactly one end to the sink, whatever happens. The
 * HTTP client makes one call at a time, except that any thread may call {@link #cancel} and {@link #fail}.
 */
final class EventStreamParser {
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";
    private static final int MAX_LINE_BYTES = 1 << 20;
    /** Most bytes between two events: comments, which keep a connection open, and blank lines. */
    private static final int MAX_BYTES_BETWEEN_EVENTS = 1 << 20;

    private final OutputSink sink;
    private final OutputBound bound;
    private final Runnable endListener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private int bytesSinceEvent;
    private String finishReason = "stop";
    private volatile Flow.@Nullable Subscription subscription;

    EventStreamParser(OutputSink sink, OutputBound bound, Runnable endListener) {
        this.sink = sink;
        this.bound = bound;
        this.endListener = endListener;
    }

    Flow.Subscriber<List<ByteBuffer>> byteSubscriber() {
        return new ByteSubscriber();
    }

    private final class ByteSubscriber implements Flow.Subscriber<List<ByteBuffer>> {
        @Override
        public void onSubscribe(Flow.Subscription newSubscription) {
            subscription = newSubscription;
            if (ended.get()) {
                newSubscription.cancel();
            } else {
                newSubscription.request(Long.MAX_VALUE);
            }
        }

        @Override
        public void onNext(List<ByteBuffer> buffers) {
            buffers.forEach(EventStreamParser.this::consume);
        }

        @Override
        public void onError(Throwable failure) {
            fail(new EngineException(Code.FAILED, "the stream broke off: " + failure.getMessage(), failure));
        }

        @Override
        public void onComplete() {
            fail(new EngineException(Code.FAILED, "the stream ended early", null));
        }
    }

    private void consume(ByteBuffer buffer) {
        while (buffer.hasRemaining()) {
            byte next = buffer.get();
            if (next == '\n') {
                bytesSinceEvent += line.size() + 1;
                handleLine(line.toString(StandardCharsets.UTF_8).strip());
                line.reset();
            } else {
                line.write(next);
            }
            if (line.size() > MAX_LINE_BYTES) {
                failForLength("a line of at most " + MAX_LINE_BYTES);
                return;
            }
            if (bytesSinceEvent > MAX_BYTES_BETWEEN_EVENTS) {
                failForLength("an event after at most " + MAX_BYTES_BETWEEN_EVENTS);
                return;
            }
        }
    }

    /** Ends the stream, also one whose last event has been received: an engine might send on without end. */
    private void failForLength(String expected) {
        line.reset();
        cancelSubscription();
        fail(new EngineException(Code.FAILED, "expected " + expected + " bytes, found more", null));
    }

    private void handleLine(String text) {
        if (ended.get() || !text.startsWith(DATA)) {
            return;
        }
        bytesSinceEvent = 0;
        String data = text.substring(DATA.length()).strip();
        if (data.equals(DONE)) {
            if (markEnded()) {
                sink.ended(finishReason);
            }
            return;
        }
        try {
            JsonNode choice = Json.read(data.getBytes(StandardCharsets.UTF_8))
                    .path("choices")
                    .path(0);
            String output = choice.path("text").asText();
            String problem = output.isEmpty() ? null : bound.add(output);
            if (problem != null) {
                cancelSubscription();
                fail(new EngineException(Code.FAILED, problem, null));
                return;
            }
            if (!output.isEmpty()) {
                sink.output(output);
            }
            if (choice.hasNonNull("finish_reason")) {
                finishReason = choice.path("finish_reason").asText();
            }
        } catch (IOException e) {
            cancelSubscription();
            fail(new EngineException(Code.FAILED, "an event isn't JSON", e));
        }
    }

    void fail(EngineException failure) {
        if (markEnded()) {
            sink.failed(failure);
        }
    }

    void cancel() {
        cancelSubscription();
        fail(new EngineException(Code.CANCELLED, "cancelled", null));
    }

    private void cancelSubscription() {
        Flow.Subscription current = subscription;
        if (current != null) {
            current.cancel();
        }
    }

    private boolean markEnded() {
        boolean first = ended.compareAndSet(false, true);
        if (first) {
            endListener.run();
        }
        return first;
    }
}
