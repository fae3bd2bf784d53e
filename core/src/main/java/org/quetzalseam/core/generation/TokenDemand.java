package org.quetzalseam.core.generation;

/**
 * What a generation says of its size, in tokens. Immutable.
 *
 * @param prompt tokens of its prompt
 * @param maxOutput the most tokens that it may make
 * @param expectedOutput the caller's estimate of the tokens that it makes: right in the median, often far off
 */
public record TokenDemand(int prompt, int maxOutput, int expectedOutput) {
    /** Returns the most memory that it can come to take, in tokens. */
    public int maxTokens() {
        return prompt + maxOutput;
    }
}
