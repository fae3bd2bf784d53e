package org.quetzalseam.gateway.peer;

/** A message between two entries. */
sealed interface PeerMessage permits PeerMessage.Ask, PeerMessage.Grant, PeerMessage.AskState, PeerMessage.State {
    /** Returns the number that the asking entry gave the question. */
    long id();

    /**
     * Asks for units of a team's allowance. Immutable.
     *
     * @param id number of the question
     * @param team the team's name
     * @param units how many units are wanted
     */
    record Ask(long id, String team, long units) implements PeerMessage {}

    /**
     * Answers a question. Immutable.
     *
     * @param id number of the question
     * @param units how many units the answering entry has given away, 0 or more
     */
    record Grant(long id, long units) implements PeerMessage {}

    /**
     * Asks which version of the desired state the store has. Immutable.
     *
     * @param id number of the question
     */
    record AskState(long id) implements PeerMessage {}

    /**
     * States which version of the desired state the store has. Immutable.
     *
     * @param id number of the question
     * @param version the version in force at the answering entry
     * @param ageMillis how long ago, at the most, the store had no newer one, in milliseconds
     */
    record State(long id, long version, long ageMillis) implements PeerMessage {}
}
