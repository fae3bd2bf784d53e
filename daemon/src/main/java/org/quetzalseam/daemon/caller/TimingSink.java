package org.quetzalseam.daemon.caller;

import java.time.Duration;
import java.util.Optional;
import org.quetzalseam.core.catalogue.Targets;
import org.quetzalseam.daemon.entry.AnswerSink;

/** Forwards outputs to another sink and records the times of their arrival. Used by one thread. */
final class TimingSink implements AnswerSink {
    private final AnswerSink sink;
    private final long arrived;
    private Optional<Long> admitted = Optional.empty();
    private long first;
    private long last;
    private int outputs;

    TimingSink(AnswerSink sink, long arrived) {
        this.sink = sink;
        this.arrived = arrived;
    }

    @Override
    public boolean admitted() {
        if (admitted.isEmpty()) {
            admitted = Optional.of(System.nanoTime());
        }
        return sink.admitted();
    }

    @Override
    public boolean probe() {
        return sink.probe();
    }

    @Override
    public boolean output(String text) {
        last = System.nanoTime();
        if (outputs == 0) {
            first = last;
        }
        outputs++;
        return sink.output(text);
    }

    Optional<Duration> timeToAdmission() {
        return admitted.map(at -> Duration.ofNanos(at - arrived));
    }

    Optional<Duration> timeToFirstOutput() {
        return outputs == 0 ? Optional.empty() : Optional.of(Duration.ofNanos(first - arrived));
    }

    Optional<Duration> meanTimeBetweenOutputs() {
        return outputs < 2 ? Optional.empty() : Optional.of(Duration.ofNanos((last - first) / (outputs - 1)));
    }

    boolean meetsTargets(Targets targets) {
        boolean prompt = timeToFirstOutput().map(Duration::toMillis).orElse(0L) <= targets.firstOutputMillis();
        boolean steady = meanTimeBetweenOutputs().map(Duration::toMillis).orElse(0L) <= targets.steadyOutputMillis();
        return prompt && steady;
    }
}
