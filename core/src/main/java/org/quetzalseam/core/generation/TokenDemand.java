package org.quetzalseam.core.generation;

/**
 * Size of a generation as its request states it, in tokens. Immutable.
 *
 * @param prompt number of tokens in its prompt
 * @param maxOutput maximum number of tokens that it may generate
 * @param expectedOutput the caller's estimate of the number of tokens that it generates: right in the median, often far
 *     off
 */
public record TokenDemand(int prompt, int maxOutput, int expectedOutput) {
    /** Returns the maximum memory that it can use, in tokens. */
    public int maxTokens() {
        return prompt + maxOutput;
    }
}
