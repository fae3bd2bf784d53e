package org.quetzalseam.daemon.engine;

import org.jspecify.annotations.Nullable;

/**
 * Bounds the outputs of a stream by the tokens that were asked for. Outputs are kept until the request has ended, so an engine that sends
 * them without end would fill the memory. Not thread-safe.
 */
final class OutputBound {
    /** More characters than the longest token of usual vocabularies has. */
    private static final int MOST_CHARS_PER_TOKEN = 1_024;

    private final int mostTokens;
    private int outputs;
    private long chars;

    /** Creates a bound for a request of so many tokens, at least one of which is in each output. */
    OutputBound(int mostTokens) {
        this.mostTokens = mostTokens;
    }

    /** Records an output. Returns what was expected and found if it is more than what was asked for, else null. */
    @Nullable
    String add(String text) {
        outputs++;
        chars += text.length();
        if (outputs > mostTokens) {
            return "expected at most " + mostTokens + " outputs, found more";
        }
        long mostChars = (long) mostTokens * MOST_CHARS_PER_TOKEN;
        return chars > mostChars ? "expected at most " + mostChars + " characters of output, found " + chars : null;
    }
}
