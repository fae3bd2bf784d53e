package org.quetzalseam.gateway.peer;

import java.util.Optional;
import org.quetzalseam.core.access.LeasedPart;
import org.quetzalseam.core.access.UnitPromise;
import org.quetzalseam.core.crash.CrashReport;
import org.quetzalseam.core.limits.PermitAnswer;
import org.quetzalseam.core.limits.PermitAsk;
import org.quetzalseam.core.stream.StreamOrigin;

/** A message between two entries. */
sealed interface PeerMessage
        permits PeerMessage.Ask,
                PeerMessage.Grant,
                PeerMessage.AskState,
                PeerMessage.State,
                PeerMessage.KeepOrigin,
                PeerMessage.OriginKept,
                PeerMessage.AskOrigin,
                PeerMessage.Origin,
                PeerMessage.TellCrashes,
                PeerMessage.CrashesHeard,
                PeerMessage.AskPermit,
                PeerMessage.Permit,
                PeerMessage.AskUnits,
                PeerMessage.UnitsPromised,
                PeerMessage.AskPart,
                PeerMessage.PartLeased {
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

    /**
     * Asks to keep a record of where a stream began. Immutable.
     *
     * @param id number of the question
     * @param attempt id of the caller's attempt that began the stream
     * @param origin where it began
     * @param keepMillis how long its caller may return, in milliseconds
     */
    record KeepOrigin(long id, String attempt, StreamOrigin origin, long keepMillis) implements PeerMessage {}

    /**
     * Confirms that a record is kept. Immutable.
     *
     * @param id number of the question
     */
    record OriginKept(long id) implements PeerMessage {}

    /**
     * Asks where a stream began. Immutable.
     *
     * @param id number of the question
     * @param attempt id of the caller's attempt that began the stream
     */
    record AskOrigin(long id, String attempt) implements PeerMessage {}

    /**
     * States where a stream began. Immutable.
     *
     * @param id number of the question
     * @param known what the answering entry knows, or empty
     */
    record Origin(long id, Optional<PeerOrigin> known) implements PeerMessage {}

    /**
     * Tells what an entry has learnt of crashes. Immutable.
     *
     * @param id number of the question
     * @param reporter name of the entry
     * @param news lost requests, ended requests and ended parts; no claims
     */
    record TellCrashes(long id, String reporter, CrashReport news) implements PeerMessage {}

    /**
     * Confirms that what was told of crashes has been taken in.
     *
     * @param id number of the question
     */
    record CrashesHeard(long id) implements PeerMessage {}

    /**
     * Asks whether requests may be sent to an endpoint that states a limit. Immutable.
     *
     * @param id number of the question
     * @param ask the question
     */
    record AskPermit(long id, PermitAsk ask) implements PeerMessage {}

    /**
     * States whether requests may be sent to an endpoint that states a limit. Immutable.
     *
     * @param id number of the question
     * @param answer the answer
     */
    record Permit(long id, PermitAnswer answer) implements PeerMessage {}

    /**
     * Asks a holder for the units of a request. Immutable.
     *
     * @param id number of the question
     * @param team the team's name
     * @param units how many units the request counts
     * @param maxWaitNanos how long the request can wait for these
     */
    record AskUnits(long id, String team, long units, long maxWaitNanos) implements PeerMessage {}

    /**
     * Answers a question for units. Immutable.
     *
     * @param id number of the question
     * @param promise the answer
     */
    record UnitsPromised(long id, UnitPromise promise) implements PeerMessage {}

    /**
     * Asks an entry to pass its part of a team's allowance to the asking one for a time. Immutable.
     *
     * @param id number of the question
     * @param team the team's name
     * @param holder identifies the asking process
     * @param leaseNanos for how long
     */
    record AskPart(long id, String team, long holder, long leaseNanos) implements PeerMessage {}

    /**
     * States which part of an allowance the answering entry has passed on. Immutable.
     *
     * @param id number of the question
     * @param leased the part
     */
    record PartLeased(long id, LeasedPart leased) implements PeerMessage {}
}
